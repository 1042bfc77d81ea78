/**
 * The service `scaling`: reports the load of scaled services, and orders their
 * endpoints while this host holds the task. Without the task it does nothing.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import {Counter, Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import {PLATFORM_API} from '../model/platform_api.js';
import {TASKS} from '../model/singleton_task.js';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {DEMAND} from './demand.js';
import {DemandReports} from './demand_reports.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {ScalingTask} from './scaling_task.js';

/** The key of the service. */
export const SCALING = createServiceKey<ScalingTask>('scaling');

/** Declares the service. */
export const SCALING_SERVICE = createService({
  key: SCALING,
  settings: z.object({}),
  needs: [
    DEMAND,
    GATEWAY_CONFIGURATION,
    GATEWAY_ENDPOINTS,
    HOST_IDENTITY,
    PEERS,
    PLATFORM_API,
    TASKS,
  ],
  create(context) {
    const {clock, log, metrics} = context;
    const peers = context.find(PEERS);
    const tasks = context.find(TASKS);
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const endpoints = context.find(GATEWAY_ENDPOINTS);
    const demand = new DemandReports({
      identity: context.find(HOST_IDENTITY),
      tasks,
      meter: context.find(DEMAND),
      configuration,
      endpoints,
      peers,
      clock,
    });
    const platformApi = context.find(PLATFORM_API);
    const orders = createOrderCounter(metrics);
    const api = new ScalingTask({
      api: platformApi,
      configuration,
      endpoints,
      demand,
      clock,
      log,
      countOrder: (service, {domain, kind}, outcome) => {
        orders.inc({service, domain, kind, outcome});
      },
    });
    createEndpointGauge(api, metrics);
    peers.handlers.demand = demand;
    if (platformApi.isConfigured) tasks.register(api);
    return {
      api,
      start() {
        demand.start();
        return Promise.resolve();
      },
      stop() {
        demand.close();
        return Promise.resolve();
      },
    };
  },
});

function createOrderCounter(registry: Registry): Counter {
  return new Counter({
    name: 'irisdock_gateway_scaling_orders_total',
    help: 'Orders of endpoints, a count, by what became of them.',
    labelNames: ['service', 'domain', 'kind', 'outcome'],
    registers: [registry],
  });
}

function createEndpointGauge(task: ScalingTask, registry: Registry): void {
  new Gauge({
    name: 'irisdock_gateway_scaling_endpoints',
    help: 'Endpoints at the host that orders them, a count, by state.',
    labelNames: ['service', 'domain', 'kind', 'state'],
    registers: [registry],
    collect() {
      this.reset();
      for (const scaled of task.listServices()) {
        const {name: service} = scaled;
        for (const {domain, kind, ready, leaving} of scaled.present) {
          this.set({service, domain, kind, state: 'ready'}, ready);
          this.set({service, domain, kind, state: 'leaving'}, leaving);
        }
        const counts = scaled.listCounts();
        for (const state of ['ordered', 'wanted'] as const) {
          for (const {domain, ordinary, spot} of counts[state]) {
            this.set({service, domain, kind: 'ordinary', state}, ordinary);
            this.set({service, domain, kind: 'spot', state}, spot);
          }
        }
      }
    },
  });
}
