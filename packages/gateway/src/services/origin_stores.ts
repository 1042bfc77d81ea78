/**
 * The service `originStore`: origins of streams in the store, for the time
 * after all hosts were lost. See docs/design/software_versions.md.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Counter, Gauge} from 'prom-client';
import * as z from 'zod';
import {TABLES_KEY} from '../tables/tables.js';
import {HOST_IDENTITY} from './identity.js';
import {OriginStore} from './origin_store.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import {VERSION_HISTORY} from './version_histories.js';

/** The key of the service. */
export const ORIGIN_STORE = createServiceKey<OriginStore>('originStore');

/** Declares the service. */
export const ORIGIN_STORE_SERVICE = createService({
  key: ORIGIN_STORE,
  settings: z.object({}),
  needs: [HOST_IDENTITY, PEERS, STORE, TABLES_KEY, VERSION_HISTORY],
  create(context) {
    const {clock, log, metrics, random} = context;
    const peers = context.find(PEERS);
    const {name: host, incarnation} = context.find(HOST_IDENTITY);
    const calls = new Counter({
      name: 'irisdock_gateway_origin_store_calls_total',
      help: 'Calls to the store for the origins of streams, a count, by call and outcome.',
      labelNames: ['call', 'outcome'],
      registers: [metrics],
    });
    const api = new OriginStore({
      host,
      incarnation,
      store: context.find(STORE),
      versions: context.find(VERSION_HISTORY),
      clock,
      log,
      random,
      countHosts: () => peers.listAlive().length,
      recordCall: (call, isOk) => {
        calls.inc({call, outcome: isOk ? 'ok' : 'failed'});
      },
    });
    new Gauge({
      name: 'irisdock_gateway_unsaved_origins',
      help: 'Streams whose origins wait to be written to the store, a count.',
      registers: [metrics],
      collect() {
        this.set(api.unsaved);
      },
    });
    void context.find(TABLES_KEY).configuration.restored.observe(() => {
      api.saveAgain();
    });
    return {api, stop: () => api.stop()};
  },
});
