/**
 * The service `orders`: makes what engines have loaded follow what was
 * declared. One host at a time gives the orders, by a lease in the platform's
 * table; each order carries the lease's fencing number.
 * docs/design/orders.md.
 */
import {
  createService,
  createServiceKey,
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

interface OrdersParts {
  readonly host: Host;
  readonly table: TableService;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly admission: Admission;
  readonly clock: Clock;
  readonly log: Logger;
  readonly loadsPerRound: number;
  readonly dropAfterMs: number;
  readonly sent: Counter;
}

const LEASE_NAME = 'orders';
const ROUND_MS = 1000;
const CANDIDATES = 3;
const LEASE_SCHEMA = z.object({
  holder: z.string(),
  fence: z.number().int(),
  renewal: z.number().int(),
});

/** Gives orders while this host holds the lease. */
export class OrderDispatcher {
  private readonly lease: LeaseState;
  private readonly unwantedSince = new Map<string, number>();

  constructor(private readonly parts: OrdersParts) {
    const {hostId, incarnation} = parts.host;
    this.lease = new LeaseState(
      `${hostId} ${incarnation}`,
      DEFAULT_LEASE_TIMINGS,
    );
  }

  /** Whether this host gives the orders now. */
  get isHolder(): boolean {
    return this.lease.getFencingToken(this.parts.clock.getNow()) !== undefined;
  }

  /** Keeps the lease, then gives what orders are due. */
  async runRound(): Promise<void> {
    if (!this.isHolder && !this.isCandidate()) return;
    await this.keepLease();
    if (!this.isHolder) return;
    const orders = this.listDue();
    await Promise.all(orders.map((order) => this.send(order)));
  }

  /** Only a few hosts try for the lease, so that the table is read by few. */
  private isCandidate(): boolean {
    const {membership, host} = this.parts;
    const serving = membership.view.listServing().map((note) => note.hostId);
    const candidates = chooseLeaderCandidates(LEASE_NAME, serving, CANDIDATES);
    return candidates.includes(host.hostId);
  }

  private async keepLease(): Promise<void> {
    const {table, clock} = this.parts;
    const key = getLeaseRowKey(LEASE_NAME);
    const begunAt = clock.getNow();
    const rows = await table.readRows([key]);
    if (rows.isErr()) return;
    const found = rows.value[0];
    const step = this.lease.decide(readLease(found), begunAt);
    if (step.step === 'wait') return;
    const writtenAt = clock.getNow();
    const result = await table.commit({
      conditions: [{key, version: found?.version ?? 0}],
      writes: [{key, value: JSON.stringify(step.row)}],
    });
    if (result.isErr() || !result.value.committed) return;
    if (step.step === 'acquire') {
      this.parts.log.writeInfo('Took the lease on orders.', {
        fence: step.row.fence,
      });
    }
    this.lease.recordWrite(step.row, writtenAt);
  }

  private listDue(): PlannedOrder[] {
    const now = this.parts.clock.getNow();
    const planned = planOrders(this.listWanted(), this.parts.loadsPerRound);
    const keys = new Set(planned.map(getOrderKey));
    for (const key of this.unwantedSince.keys()) {
      if (!keys.has(key)) this.unwantedSince.delete(key);
    }
    return planned.filter((order) => {
      if (order.action.startsWith('load')) return true;
      // Answers that began on it may run for minutes yet.
      const since = this.unwantedSince.get(getOrderKey(order)) ?? now;
      this.unwantedSince.set(getOrderKey(order), since);
      return now - since >= this.parts.dropAfterMs;
    });
  }

  private listWanted(): DesiredLoads[] {
    const {configuration, directory, admission} = this.parts;
    const wanted: DesiredLoads[] = [];
    for (const {name} of configuration.listKind('service')) {
      const spec = configuration.findSpec('service', name);
      if (spec?.type !== 'generation') continue;
      const version = configuration.findSpec('modelVersion', spec.modelVersion);
      const usable = directory.listUsable(name).filter((r) => r.isAnswering);
      wanted.push({
        service: name,
        models: [spec.modelVersion],
        adapters: spec.adapters,
        replicas: version?.replicas ?? 0,
        demand: admission.countWaiting(name),
        endpoints: usable.map(({address, loaded}) => ({address, ...loaded})),
      });
    }
    return wanted;
  }

  private async send(order: PlannedOrder): Promise<void> {
    const {clock, directory, log, sent} = this.parts;
    const fence = this.lease.getFencingToken(clock.getNow());
    const engine = directory.find(order.address)?.clients.engine;
    if (fence === undefined || engine === undefined) return;
    const {action, target, address} = order;
    const result = await engine.sendOrder({fence, action, target});
    const outcome = result.isOk() ? 'done' : result.error.kind;
    sent.inc({action, outcome});
    log.writeInfo('Gave an order.', {
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
    description: 'Loads begun a second, by what the weight store can feed.',
  }),
  dropAfterSeconds: z.coerce.number().int().min(0).default(900).meta({
    unit: 's',
    description: 'How long what is wanted no more stays loaded.',
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
      dropAfterMs: settings.dropAfterSeconds * 1000,
      sent: new Counter({
        name: 'irisdock_orders_sent_total',
        help: 'Orders given to engines, a count, by action and outcome.',
        labelNames: ['action', 'outcome'],
        registers: [context.metrics],
      }),
    });
    new Gauge({
      name: 'irisdock_orders_holder',
      help: 'Whether this host gives the orders, 1 or 0.',
      registers: [context.metrics],
      collect() {
        this.set(Number(api.isHolder));
      },
    });
    const rounds = new Repeater(
      (signal) => context.clock.wait(ROUND_MS, signal),
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
