/**
 * The service `rollouts`: moves services to endpoints of another version on an
 * operator's order. docs/design/rollouts.md.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import {createService, createServiceKey, type Logger} from '@irisdock/kernel';
import {Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import type {RolloutCodec} from '../model/rollout_order.js';
import {Rollouts} from '../serving/rollouts.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {RolloutDecider} from './rollout_decider.js';
import {RolloutRunner} from './rollout_runner.js';
import {CODECS, STORE} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The key of the service. */
export const ROLLOUTS = createServiceKey<Rollouts>('rollouts');

const SETTINGS = z.object({
  exposureShare: z.coerce.number().min(0).max(1).default(0.1).meta({
    unit: 'part',
    description:
      'The share of the requests during an order that a bad version may get.',
  }),
  exposureSlack: z.coerce.number().min(0).default(50).meta({
    unit: 'requests',
    description: 'Requests that a bad version may get beyond that share.',
  }),
});

/** Declares the service. */
export const ROLLOUTS_SERVICE = createService({
  key: ROLLOUTS,
  settings: SETTINGS,
  needs: [CODECS, STORE, TABLES_KEY, GATEWAY_ENDPOINTS, PEERS, HOST_IDENTITY],
  create(context, settings) {
    const {clock, log} = context;
    const {rollouts: codec} = context.find(CODECS);
    const endpoints = context.find(GATEWAY_ENDPOINTS);
    const peers = context.find(PEERS);
    const {name, incarnation} = context.find(HOST_IDENTITY);
    const {configuration: table} = context.find(TABLES_KEY);
    const bounds = {
      share: settings.exposureShare,
      slack: settings.exposureSlack,
    };
    const api: Rollouts = new Rollouts({
      clock,
      log,
      bounds,
      endpoints,
      countHosts: () => peers.countServing(),
      handleChange: () => {
        runner.handleChange();
      },
    });
    const decider = new RolloutDecider({
      rollouts: api,
      bounds,
      store: context.find(STORE),
      codec,
      clock,
      log,
      listHosts: () => peers.listActiveNames(),
      publishPhase: (state) => {
        runner.publishPhase(state);
      },
    });
    const runner = new RolloutRunner({
      name,
      incarnation,
      rollouts: api,
      decider,
      peers,
      clock,
      log,
    });
    peers.handlers.rollouts = runner;
    endpoints.handleChange = () => {
      api.updateEndpoints();
    };
    const applyRows = (rows: readonly ReplicaRow[]): void => {
      for (const row of rows) applyRow(row, {codec, rollouts: api, log});
      if (!api.isEmpty) runner.start();
    };
    void table.restored.observe(() => {
      runner.handleRestored();
    });
    applyRows(table.replica.listAll());
    void table.changes.observe(applyRows);
    createGauge(api, context.metrics);
    return {api, stop: () => runner.stop()};
  },
});

/** Dependencies of `applyRow`. */
interface OrderParts {
  readonly codec: RolloutCodec;
  readonly rollouts: Rollouts;
  readonly log: Logger;
}

function applyRow(
  {key, value, revision}: ReplicaRow,
  {codec, rollouts, log}: OrderParts,
): void {
  const service = codec.findService(key);
  if (service === undefined) return;
  if (value === undefined) {
    rollouts.removeOrder(service);
    return;
  }
  const order = codec.decodeOrder(value);
  if (order.isOk()) {
    rollouts.addOrder(order.value, revision);
    return;
  }
  const fault = order.error;
  log.writeWarning('Failed to decode a rollout order.', {key, fault});
}

function createGauge(rollouts: Rollouts, registry: Registry): void {
  new Gauge({
    name: 'irisdock_gateway_rollouts',
    help: 'Known rollouts, a count, by phase.',
    labelNames: ['phase'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {phase} of rollouts.listStates()) this.inc({phase});
    },
  });
}
