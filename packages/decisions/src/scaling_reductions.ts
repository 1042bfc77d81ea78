/**
 * Orders of fewer endpoints: those of pools with more than is wanted, as far as
 * what is ready without them carries the need after losses.
 */
import {isSufficient, type MixGoal} from './scaling_mix.js';
import {
  getDomainCounts,
  getOtherKind,
  type DomainCounts,
  type PoolOrder,
  type ScalingLimits,
} from './scaling_model.js';
import type {ScalingPool} from './scaling_pool.js';
import type {ScalingPools} from './scaling_pools.js';

/** The endpoints that one order takes at most while requests run. */
const MAX_REDUCTION = 4;
/**
 * The excess from which a pool is reduced. One or two spot endpoints cost less
 * than the orders that would follow each small change of the need.
 */
const MIN_EXCESS = {ordinary: 1, spot: 3} as const;

const UNSAFE_REASON = 'an order of fewer is not safe any more';

/** What is known when reductions are planned. */
export interface ReductionInput {
  readonly pools: ScalingPools;
  /** The mix that is aimed at. */
  readonly wanted: readonly DomainCounts[];
  readonly goal: MixGoal;
  readonly limits: ScalingLimits;
  /** Whether what runs on a leaving endpoint ends well or elsewhere. */
  readonly isMovable: boolean;
  /** Whether no request was seen yet, so that nothing can be cut. */
  readonly isIdle: boolean;
  readonly now: number;
}

/** What decides whether an order of fewer is safe. */
export type SafetyInput = Pick<
  ReductionInput,
  'pools' | 'goal' | 'limits' | 'isMovable' | 'isIdle' | 'now'
> & {
  /** Whether load and endpoints are known well enough to take endpoints. */
  readonly isCertain: boolean;
};

/** Replaces orders of fewer that are not safe any more by the count in force. */
export function updateReductions(
  orders: readonly PoolOrder[],
  input: SafetyInput,
): PoolOrder[] {
  const {pools, limits, now} = input;
  const firm = pools.listCounts((pool) => pool.firm);
  return orders.map((order) => {
    const pool = pools.find(order);
    if (pool === undefined || order.count >= pool.count) return order;
    const isSettled = pool.isSettleable(now, limits.bootMs);
    if (isSettled && order.count >= pool.ready) return order;
    // What is leaving is not firm, and the platform does not take it again.
    const taken = Math.max(0, pool.count - pool.leaving - order.count);
    // The order itself may be in force already, so that it counts only once.
    const left = Math.min(pool.firm, Math.min(pool.count, pool.ready) - taken);
    const rest = firm.map((entry) => ({...entry}));
    setCount(rest, pool, left);
    if (!isTakeable(input, pool, taken) || !isSufficient(rest, input.goal)) {
      return {...pool.key, count: pool.count, reason: UNSAFE_REASON};
    }
    setCount(firm, pool, left);
    return order;
  });
}

/** Whether what runs in a pool allows that so many endpoints are taken. */
function isTakeable(
  {isIdle, isMovable, isCertain}: SafetyInput,
  {running}: ScalingPool,
  taken: number,
): boolean {
  if (taken === 0) return true;
  if (!isCertain) return false;
  if (isIdle) return true;
  return taken <= MAX_REDUCTION && (isMovable || running === 0);
}

/** Plans orders of fewer; only one, of few endpoints, unless idle. */
export function planReductions(input: ReductionInput): PoolOrder[] {
  const {pools, isIdle} = input;
  const orders: PoolOrder[] = [];
  const firm = pools.listCounts((pool) => pool.firm);
  for (const pool of listReducible(input)) {
    const count = findSafeCount(input, pool, firm);
    if (count >= pool.count) continue;
    orders.push({...pool.key, count, reason: getReason(pool, isIdle)});
    if (!isIdle) break;
    setCount(firm, pool, pool.firm - (pool.count - count));
  }
  return orders;
}

/** Lists the pools that may be reduced, the largest excess first. */
function listReducible(input: ReductionInput): ScalingPool[] {
  const getExcess = (pool: ScalingPool): number =>
    pool.count - getLeast(input, pool);
  return input.pools
    .listAll()
    .filter((pool) => getExcess(pool) >= MIN_EXCESS[pool.key.kind])
    .filter((pool) => pool.isReducible(input.now))
    .filter((pool) => input.isMovable || pool.running === 0)
    .sort((a, b) => getExcess(b) - getExcess(a));
}

function getLeast(
  {pools, wanted, limits}: ReductionInput,
  {key: {domain, kind}}: ScalingPool,
): number {
  const target = getDomainCounts(wanted, domain)[kind];
  const other = pools.getPool(domain, getOtherKind(kind)).leastCount;
  return Math.max(target, limits.minimum - other);
}

/** Finds the least count with which what is ready carries the need. */
function findSafeCount(
  input: ReductionInput,
  pool: ScalingPool,
  firm: readonly DomainCounts[],
): number {
  const least = getLeast(input, pool);
  const most = input.isIdle ? Infinity : MAX_REDUCTION;
  let count = pool.count;
  while (count > least && pool.count - count < most) {
    const taken = pool.count - (count - 1);
    const rest = firm.map((entry) => ({...entry}));
    setCount(rest, pool, pool.firm - taken);
    if (!isSufficient(rest, input.goal)) break;
    count--;
  }
  return count;
}

function getReason({key}: ScalingPool, isIdle: boolean): string {
  if (key.kind === 'spot') return 'the load fell';
  return isIdle
    ? 'spot endpoints take over before the load begins'
    : 'spot endpoints carry the load';
}

function setCount(
  counts: DomainCounts[],
  {key: {domain, kind}}: ScalingPool,
  count: number,
): void {
  const index = counts.findIndex((entry) => entry.domain === domain);
  const entry = counts[index];
  if (entry !== undefined) counts[index] = {...entry, [kind]: count};
}
