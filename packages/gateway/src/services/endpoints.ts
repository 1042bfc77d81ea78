/**
 * The service `endpoints`: the endpoints from the store and from other hosts.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Counter, Gauge} from 'prom-client';
import * as z from 'zod';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {DrainingEndpoints} from './draining_endpoints.js';
import {EndpointPauses} from './endpoint_pauses.js';
import {EndpointUses} from './endpoint_uses.js';
import {GatewayEndpoints} from './gateway_endpoints.js';
import {PEERS} from './peers.js';
import {CODECS} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The key of the service. */
export const GATEWAY_ENDPOINTS =
  createServiceKey<GatewayEndpoints>('endpoints');

/** The memory of an engine whose service does not configure it, in tokens. */
const UNKNOWN_MEMORY_TOKENS = Number.MAX_SAFE_INTEGER;

const SETTINGS = z.object({
  drainMs: z.coerce.number().min(0).default(3000).meta({
    unit: 'ms',
    description:
      'How long endpoints serve on after the store took that they are leaving.',
  }),
});

/** Declares the service. */
export const GATEWAY_ENDPOINTS_SERVICE = createService({
  key: GATEWAY_ENDPOINTS,
  settings: SETTINGS,
  needs: [CODECS, TABLES_KEY, GATEWAY_CONFIGURATION, PEERS],
  create(context, settings) {
    const {endpoints: table} = context.find(TABLES_KEY);
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const peers = context.find(PEERS);
    const {clock, log} = context;
    const draining = new DrainingEndpoints({
      confirmations: table.confirmations,
      pollStore: () => table.pollStore(),
      drainMs: settings.drainMs,
      clock,
    });
    const api = new GatewayEndpoints({
      draining,
      codec: context.find(CODECS).endpoints,
      clock,
      log,
      getMemoryTokens: (service) =>
        configuration.findService(service)?.engine?.memoryTokens ??
        UNKNOWN_MEMORY_TOKENS,
      drainMs: settings.drainMs,
      isScaled: (service) =>
        configuration.findService(service)?.scaling !== undefined,
      findRow: (endpointId) => table.replica.find(endpointId),
      isServiceConfigured: (service) => configuration.hasService(service),
      unreadableEntries: new Counter({
        name: 'irisdock_gateway_unreadable_entries_total',
        help: 'Rejected endpoint entries, a count.',
        registers: [context.metrics],
      }),
      getDepartureDelayMs: () =>
        peers.standing.getDepartureDelayMs(clock.getNow()),
      peers,
      pauses: new EndpointPauses(clock, log),
    });
    peers.useRegistry = new EndpointUses(api);
    api.applyRows(table.replica.listAll());
    void table.changes.observe((rows) => {
      api.applyRows(rows);
    });
    new Gauge({
      name: 'irisdock_gateway_endpoints',
      help: 'Known endpoints, a count, by state.',
      labelNames: ['state'],
      registers: [context.metrics],
      collect() {
        this.reset();
        for (const {entry} of api.listAll()) this.inc({state: entry.state});
      },
    });
    return {
      api,
      stop() {
        api.close();
        return Promise.resolve();
      },
    };
  },
});
