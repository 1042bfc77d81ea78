/**
 * The service `orders`: sends load and unload orders to engines until the
 * models and adapters they have loaded match the configuration. Only the holder
 * of a lease in the platform's table sends orders; each order carries the
 * fencing token of the lease. docs/design/orders.md.
 */
import {
  createService,
  createServiceKey,
  readClocks,
  Repeater,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import {
  chooseLeaderCandidates,
  DEFAULT_LEASE_TIMINGS,
  LeaseState,
  planOrders,
  type LeaseRow,
  type PlannedOrder,
  type DesiredLoads,
} from '@irisdock/decisions';
import type {TableRow, TableService} from '@irisdock/storage';
import {Counter, Gauge} from 'prom-client';
import * as z from 'zod';
import {getLeaseRowKey} from '../configuration/table_rows.js';
import {ADMISSION, type Admission} from './admission.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {ENDPOINTS, type EndpointDirectory} from './endpoint_directory.js';
import {HOST, type Host} from './host.js';
import {MEMBERSHIP, type Membership} from './membership.js';
import {PLATFORM} from './platform.js';

interface OrderDispatcherParts {
  readonly host: Host;
  readonly table: TableService;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly admission: Admission;
  readonly clock: Clock;
  readonly log: Logger;
  readonly loadsPerRound: number;
  readonly unloadAfterMs: number;
  readonly sentOrders: Counter;
}

const LEASE_NAME = 'orders';
const ROUND_INTERVAL_MS = 1000;
const MAX_LEASE_CANDIDATES = 3;
const LEASE_SCHEMA = z.object({
  holder: z.string(),
  fence: z.number().int(),
  renewal: z.number().int(),
});

/** Sends orders to engines while this host holds the lease. */
export class OrderDispatcher {
  private readonly lease: LeaseState;
  private readonly unneededSince = new Map<string, number>();

  constructor(private readonly parts: OrderDispatcherParts) {
    const {hostId, incarnation} = parts.host;
    this.lease = new LeaseState(
      `${hostId} ${incarnation}`,
      DEFAULT_LEASE_TIMINGS,
    );
  }

  /** Whether this host holds the lease now. */
  get isLeaseHolder(): boolean {
    const now = readClocks(this.parts.clock);
    return this.lease.getFencingToken(now) !== undefined;
  }

  /** Acquires or renews the lease, then sends the orders that are due. */
  async runRound(): Promise<void> {
    if (!this.isLeaseHolder && !this.isLeaseCandidate()) return;
    await this.renewLease();
    if (!this.isLeaseHolder) return;
    const orders = this.listDueOrders();
    await Promise.all(orders.map((order) => this.send(order)));
  }

  /** Lets only a few hosts compete for the lease, to limit table reads. */
  private isLeaseCandidate(): boolean {
    const {membership, host} = this.parts;
    const serving = membership.view.listServing().map((note) => note.hostId);
    const candidates = chooseLeaderCandidates(
      LEASE_NAME,
      serving,
      MAX_LEASE_CANDIDATES,
    );
    return candidates.includes(host.hostId);
  }

  private async renewLease(): Promise<void> {
    const {table, clock} = this.parts;
    const key = getLeaseRowKey(LEASE_NAME);
    const rows = await table.readRows([key]);
    if (rows.isErr()) return;
    const found = rows.value[0];
    const leaseStep = this.lease.decide(readLease(found), readClocks(clock));
    if (leaseStep.step === 'wait') return;
    const begun = readClocks(clock);
    const result = await table.commit({
      conditions: [{key, version: found?.version ?? 0}],
      writes: [{key, value: JSON.stringify(leaseStep.row)}],
    });
    if (result.isErr() || !result.value.committed) return;
    if (leaseStep.step === 'acquire') {
      this.parts.log.writeInfo('Acquired the lease for orders.', {
        fence: leaseStep.row.fence,
      });
    }
    this.lease.recordWrite(leaseStep.row, begun);
  }

  private listDueOrders(): PlannedOrder[] {
    const now = this.parts.clock.getNow();
    const planned = planOrders(
      this.listDesiredLoads(),
      this.parts.loadsPerRound,
    );
    const keys = new Set(planned.map(getOrderKey));
    for (const key of this.unneededSince.keys()) {
      if (!keys.has(key)) this.unneededSince.delete(key);
    }
    return planned.filter((order) => {
      if (order.action.startsWith('load')) return true;
      // Responses that started on it may still run for minutes.
      const since = this.unneededSince.get(getOrderKey(order)) ?? now;
      this.unneededSince.set(getOrderKey(order), since);
      return now - since >= this.parts.unloadAfterMs;
    });
  }

  private listDesiredLoads(): DesiredLoads[] {
    const {configuration, directory, admission} = this.parts;
    const desired: DesiredLoads[] = [];
    for (const {name} of configuration.listKind('service')) {
      const spec = configuration.findSpec('service', name);
      if (spec?.type !== 'generation') continue;
      const version = configuration.findSpec('modelVersion', spec.modelVersion);
      const usable = directory.listUsable(name).filter((r) => r.isAnswering);
      desired.push({
        service: name,
        models: [spec.modelVersion],
        adapters: spec.adapters,
        replicas: version?.replicas ?? 0,
        demand: admission.countWaiting(name),
        endpoints: usable.map(({address, loaded}) => ({address, ...loaded})),
      });
    }
    return desired;
  }

  private async send(order: PlannedOrder): Promise<void> {
    const {clock, directory, log, sentOrders} = this.parts;
    const fence = this.lease.getFencingToken(readClocks(clock));
    const engine = directory.find(order.address)?.clients.engine;
    if (fence === undefined || engine === undefined) return;
    const {action, target, address} = order;
    this.lease.recordOrderStart();
    const result = await engine.sendOrder({fence, action, target});
    // An order without a response may still arrive.
    const isSettled = result.isOk() || result.error.outcome === 'not-run';
    this.lease.recordOrderEnd(readClocks(clock), isSettled);
    const outcome = result.isOk() ? 'done' : result.error.kind;
    sentOrders.inc({action, outcome});
    log.writeInfo('Sent an order to an endpoint.', {
      endpoint: address,
      action,
      target,
      outcome,
    });
    directory.poll(address);
  }
}

function getOrderKey(order: PlannedOrder): string {
  return `${order.address} ${order.action} ${order.target}`;
}

function readLease(row: TableRow | undefined): LeaseRow | undefined {
  if (row === undefined) return undefined;
  return LEASE_SCHEMA.parse(JSON.parse(row.value));
}

/** The key of the service. */
export const ORDERS = createServiceKey<OrderDispatcher>('orders');

const SETTINGS = z.object({
  loadsPerSecond: z.coerce.number().int().min(1).default(2).meta({
    unit: 'loads/s',
    description: 'Maximum rate of model loads, limited by the weight store.',
  }),
  dropAfterSeconds: z.coerce.number().int().min(0).default(900).meta({
    unit: 's',
    description: 'How long an unneeded model or adapter stays loaded.',
  }),
});

/** Declares the service. */
export const ORDERS_SERVICE = createService({
  key: ORDERS,
  settings: SETTINGS,
  needs: [ADMISSION, CONFIGURATION, ENDPOINTS, HOST, MEMBERSHIP, PLATFORM],
  create(context, settings) {
    const api = new OrderDispatcher({
      host: context.find(HOST),
      table: context.find(PLATFORM).table,
      configuration: context.find(CONFIGURATION),
      membership: context.find(MEMBERSHIP),
      directory: context.find(ENDPOINTS),
      admission: context.find(ADMISSION),
      clock: context.clock,
      log: context.log,
      loadsPerRound: settings.loadsPerSecond,
      unloadAfterMs: settings.dropAfterSeconds * 1000,
      sentOrders: new Counter({
        name: 'irisdock_orders_sent_total',
        help: 'Orders sent to engines, a count, by action and outcome.',
        labelNames: ['action', 'outcome'],
        registers: [context.metrics],
      }),
    });
    new Gauge({
      name: 'irisdock_orders_holder',
      help: 'Whether this host holds the lease for orders, 1 or 0.',
      registers: [context.metrics],
      collect() {
        this.set(Number(api.isLeaseHolder));
      },
    });
    const rounds = new Repeater(
      (signal) => context.clock.wait(ROUND_INTERVAL_MS, signal),
      () => api.runRound(),
      context.log,
    );
    return {
      api,
      start() {
        rounds.start();
        return Promise.resolve();
      },
      stop: () => rounds.stop(),
    };
  },
});
