/**
 * The service `runLeases`: at most one run at a time, over all hosts, of a
 * content that is suspected to crash its endpoints.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {CRASHES} from './crashes.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {RunLeaseClient} from './run_lease_client.js';
import {RunLeaseIssuer} from './run_lease_issuer.js';

/** The key of the service. */
export const RUN_LEASES = createServiceKey<RunLeaseClient>('runLeases');

/** The interval between removals of expired leases, in ms. */
const SWEEP_MS = 5000;

/** Declares the service. */
export const RUN_LEASES_SERVICE = createService({
  key: RUN_LEASES,
  settings: z.object({}),
  needs: [CRASHES, HOST_IDENTITY, PEERS],
  create(context) {
    const {clock} = context;
    const peers = context.find(PEERS);
    const identity = context.find(HOST_IDENTITY);
    const crashes = context.find(CRASHES);
    const ownName = identity.name;
    const issuer = new RunLeaseIssuer({ownName, peers, crashes, clock});
    const api = new RunLeaseClient({identity, peers, issuer, clock});
    peers.handlers.leases = api;
    const timer = setInterval(() => {
      api.dropExpired();
    }, SWEEP_MS);
    timer.unref();
    return {
      api,
      stop() {
        clearInterval(timer);
        return Promise.resolve();
      },
    };
  },
});
