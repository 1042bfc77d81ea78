/**
 * The service `limits`: keeps all hosts together within the rate limits that
 * overloaded endpoints advertise (`send_limits.ts`).
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {SendLimits} from './send_limits.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The key of the service. */
export const LIMITS = createServiceKey<SendLimits>('limits');

/** Declares the service. */
export const LIMITS_SERVICE = createService({
  key: LIMITS,
  settings: z.object({}),
  needs: [GATEWAY_ENDPOINTS, HOST_IDENTITY, PEERS, TABLES_KEY],
  create(context) {
    const {clock, log, metrics} = context;
    const peers = context.find(PEERS);
    const endpoints = context.find(GATEWAY_ENDPOINTS);
    const {replica} = context.find(TABLES_KEY).endpoints;
    const api = new SendLimits({
      identity: context.find(HOST_IDENTITY),
      peers,
      isEndpointKnown: (instanceId) => endpoints.find(instanceId) !== undefined,
      hasLoadedEndpoints: () => replica.isLoaded,
      clock,
      log,
    });
    peers.handlers.limits = api;
    createGauges(api, metrics);
    return {
      api,
      stop() {
        api.close();
        return Promise.resolve();
      },
    };
  },
});

function createGauges(limits: SendLimits, registry: Registry): void {
  new Gauge({
    name: 'irisdock_gateway_limits',
    help: 'Endpoints that advertise a rate limit, a count.',
    registers: [registry],
    collect() {
      this.set(limits.known.count);
    },
  });
  new Gauge({
    name: 'irisdock_gateway_limit_sends',
    help: 'Sends of this host to endpoints with a limit, a count, by outcome.',
    labelNames: ['outcome'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {given, held} of limits.listLimits()) {
        this.inc({outcome: 'given'}, given);
        this.inc({outcome: 'held'}, held);
      }
    },
  });
}
