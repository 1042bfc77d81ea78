/**
 * The service `streamOrigins`: which software version began each stream that
 * callers may resume at another host.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import {HOST_IDENTITY} from './identity.js';
import {ORIGIN_STORE} from './origin_stores.js';
import {PEERS} from './peers.js';
import {StreamOriginClient} from './stream_origin_client.js';

/** The key of the service. */
export const STREAM_ORIGINS =
  createServiceKey<StreamOriginClient>('streamOrigins');

/** Declares the service. */
export const STREAM_ORIGINS_SERVICE = createService({
  key: STREAM_ORIGINS,
  settings: z.object({}),
  needs: [HOST_IDENTITY, ORIGIN_STORE, PEERS],
  create(context) {
    const {clock, random, metrics} = context;
    const peers = context.find(PEERS);
    const {name: ownName} = context.find(HOST_IDENTITY);
    const api = new StreamOriginClient({
      ownName,
      peers,
      store: context.find(ORIGIN_STORE),
      clock,
      random,
    });
    peers.handlers.origins = api;
    new Gauge({
      name: 'irisdock_gateway_stream_origins',
      help: 'Streams whose software version this host keeps, a count.',
      registers: [metrics],
      collect() {
        this.set(api.size);
      },
    });
    return {api};
  },
});
