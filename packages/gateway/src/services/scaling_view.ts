/** What the plan of a service's endpoints sees: its endpoints and its load. */
import {
  computeNeed,
  type CapacityKind,
  type EndpointCapacity,
  type PoolView,
  type ScalingView,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {ServingService} from '../model/serving_configuration.js';
import type {EndpointRecord} from '../serving/endpoint_record.js';
import type {DemandReports} from './demand_reports.js';
import type {GatewayEndpoints} from './gateway_endpoints.js';

/** How long after the announced end an endpoint is surely gone, in ms. */
const END_DELAY_MS = 2000;

/** Dependencies of the view. */
export interface ScalingViewParts {
  readonly endpoints: Pick<
    GatewayEndpoints,
    'drainMs' | 'isCurrent' | 'listAll'
  >;
  readonly demand: Pick<DemandReports, 'getTracker' | 'isComplete'>;
  readonly clock: Clock;
}

type MutablePool = {-readonly [K in keyof PoolView]: PoolView[K]};

/** Creates the view of a service; undefined if it is not scaled. */
export function createScalingView(
  parts: ScalingViewParts,
  service: ServingService,
): ScalingView | undefined {
  const {scaling, engine, name} = service;
  if (scaling === undefined) return undefined;
  const records: EndpointRecord[] = [];
  for (const record of parts.endpoints.listAll()) {
    if (record.entry.service === name) records.push(record);
  }
  const now = parts.clock.getNow();
  const tracker = parts.demand.getTracker(name);
  const demand = tracker.getDemand(now);
  const capacity = createCapacity(service, records, tracker.findPrefillRate());
  const hasPrompts = engine !== undefined && demand.promptTokensPerSecond > 0;
  const isSpeedKnown = capacity.promptTokensPerSecond !== undefined;
  const isComplete = parts.demand.isComplete(name);
  return {
    limits: scaling,
    drainMs: parts.endpoints.drainMs,
    pools: listPools(records, !isComplete || demand.inFlight > 0, now),
    need: computeNeed(demand, capacity),
    areEndpointsCurrent: parts.endpoints.isCurrent,
    isNeedCertain: isComplete && (isSpeedKnown || !hasPrompts),
    // Calls of plain services end while their endpoint drains.
    isMovable: engine?.takesBackups ?? true,
  };
}

function createCapacity(
  {engine}: ServingService,
  records: readonly EndpointRecord[],
  promptTokensPerSecond: number | undefined,
): EndpointCapacity {
  let slots = 0;
  for (const record of records) slots += record.slots;
  const meanSlots = records.length === 0 ? 1 : slots / records.length;
  return {
    slots: engine?.slots ?? meanSlots,
    memoryTokens: engine?.memoryTokens,
    promptTokensPerSecond,
  };
}

/**
 * Counts endpoints by pool.
 *
 * @param isBusy Whether requests run at all. This host knows only some of them,
 *     so that any endpoint may run one.
 */
function listPools(
  records: readonly EndpointRecord[],
  isBusy: boolean,
  now: number,
): PoolView[] {
  const pools = new Map<string, MutablePool>();
  for (const record of records) {
    const pool = getPool(pools, record.failureDomain, getKind(record));
    if (record.isReady) pool.ready++;
    else if (isLeaving(record, now)) pool.leaving++;
    if (record.isReady && isBusy) pool.running++;
  }
  return [...pools.values()];
}

function getPool(
  pools: Map<string, MutablePool>,
  domain: string,
  kind: CapacityKind,
): MutablePool {
  const key = `${kind}/${domain}`;
  let pool = pools.get(key);
  if (pool === undefined) {
    pool = {domain, kind, ready: 0, leaving: 0, running: 0};
    pools.set(key, pool);
  }
  return pool;
}

/** The entry of an endpoint that has ended may stay for some time. */
function isLeaving({endsAt}: EndpointRecord, now: number): boolean {
  return now < (endsAt ?? Infinity) + END_DELAY_MS;
}

function getKind({entry}: EndpointRecord): CapacityKind {
  return entry.isSpot === true ? 'spot' : 'ordinary';
}
