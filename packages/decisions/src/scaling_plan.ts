/**
 * Plans the orders by which a service gets the endpoints that its load needs,
 * most of them spot endpoints. See docs/design/scaling.md.
 *
 * Orders of more come first, and those of fewer only when what is ready without
 * the endpoints taken carries the need. Before any load was seen, the need is
 * that for which the first endpoints were provided, and their number is not
 * reduced: the load may begin at once, and only the kind of capacity changes.
 */
import {planCover} from './scaling_cover.js';
import {computeMix, type MixGoal} from './scaling_mix.js';
import {
  countEndpoints,
  type DomainCounts,
  type PoolKey,
  type PoolOrder,
  type StandingOrder,
} from './scaling_model.js';
import {NeedLevel} from './scaling_need.js';
import type {ScalingPool, PoolState} from './scaling_pool.js';
import {ScalingPools, type PoolsView} from './scaling_pools.js';
import {planReductions, updateReductions} from './scaling_reductions.js';

/** What is planned for one service. */
export interface ScalingView extends PoolsView {
  /** The endpoints that the load needs. */
  readonly need: number;
  /** Whether the whole load is known; otherwise, the need may be higher. */
  readonly isNeedCertain: boolean;
  /** Whether what runs on a leaving endpoint ends well or elsewhere. */
  readonly isMovable: boolean;
}

/** What outlasts a change of the holder. */
export interface ScalingState {
  /** The need in endpoints. */
  readonly level: number;
  /** Endpoints before the first order. */
  readonly initial: number;
  /** Whether any load was seen. */
  readonly hasDemand: boolean;
  readonly pools: readonly PoolState[];
}

/**
 * How long the first endpoints are counted before the first order, in ms: some
 * may be away for 1.2 s.
 */
const SETTLE_MS = 1500;
/**
 * The time between two orders of fewer while requests run, in ms. The endpoints
 * of the first are gone by then.
 */
const REDUCTION_INTERVAL_MS = 5000;
/**
 * The share of its base below which a domain's ordinary endpoints are ordered. A
 * somewhat larger need moves no order, as spot endpoints carry it.
 */
const MIN_BASE_SHARE = 0.75;

const BASE_REASON = 'the base of ordinary endpoints is too small';
const MISSING_REASON = 'endpoints of it are missing';
const UNCONFIRMED_REASON = 'an order without an answer may be in force';
const SETTLE_REASON = 'a refused order may be in force, and nothing boots';
const COVER_REASON = 'the load needs it, and spot endpoints are missing';

/** Plans the orders for one service. */
export class ScalingPlan {
  private readonly pools = new ScalingPools();
  private need: NeedLevel | undefined;
  private initial = 0;
  private hasDemand = false;
  private firstSeenAt: number | undefined;
  private reducedAt = -Infinity;
  /** The mix that was computed last, and from what. */
  private mix:
    | {readonly basis: string; readonly counts: readonly DomainCounts[]}
    | undefined;

  /** Creates the plan that an earlier holder left. */
  static createFrom(state: ScalingState, now: number): ScalingPlan {
    const plan = new ScalingPlan();
    plan.need = new NeedLevel(state.level, now);
    plan.initial = state.initial;
    plan.hasDemand = state.hasDemand;
    plan.firstSeenAt = now;
    plan.reducedAt = now;
    plan.pools.addStates(state.pools, now);
    return plan;
  }

  /** Returns what a new holder continues from; undefined before it is known. */
  findState(): ScalingState | undefined {
    if (this.need === undefined) return undefined;
    const pools = this.pools.listStates();
    const {initial, hasDemand} = this;
    return {level: this.need.value, initial, hasDemand, pools};
  }

  /** Lists the counts in force. */
  listOrdered(): DomainCounts[] {
    return this.pools.listCounts(({count}) => count);
  }

  /** Lists the orders that the platform accepted last, one for each pool. */
  listOrders(): StandingOrder[] {
    return this.pools.listAll().flatMap(({order}) => order ?? []);
  }

  /** Lists the mix that is aimed at. */
  listWanted(
    {limits}: Pick<ScalingView, 'limits'>,
    now: number,
  ): readonly DomainCounts[] {
    const {pools} = this;
    const caps = pools.listSpotCaps(limits, now);
    const goal = this.createGoal();
    const domains = pools.listDomains();
    const basis = JSON.stringify([goal, domains, limits, [...caps]]);
    if (this.mix?.basis !== basis) {
      const counts = computeMix(goal, domains, limits, caps);
      this.mix = {basis, counts};
    }
    return this.mix.counts;
  }

  /**
   * Takes the endpoints and the load as they are now; tells whether they are
   * known well enough to plan with.
   */
  update(view: ScalingView, now: number): boolean {
    // Endpoints that are gone would count as ordered.
    if (this.need === undefined && !view.areEndpointsCurrent) return false;
    this.pools.update(view, now);
    if (view.pools.some(({ready}) => ready > 0)) this.firstSeenAt ??= now;
    if (now - (this.firstSeenAt ?? now) < SETTLE_MS) return false;
    this.updateNeed(view, now);
    return true;
  }

  /**
   * Checks orders that were planned earlier and are not settled: in place of one
   * that would take too many endpoints by now, what is in force is ordered. The
   * other orders are returned as they are; all are undefined if there is one of
   * fewer and the load is not known yet.
   */
  updateOrders(
    orders: readonly PoolOrder[],
    view: ScalingView,
    now: number,
  ): PoolOrder[] | undefined {
    const isKnown = this.update(view, now);
    if (!isKnown && orders.some((one) => this.isReduction(one))) return;
    const {pools, isIdle} = this;
    const goal = this.createGoal();
    const {isMovable, limits} = view;
    const isCertain = isViewCertain(view);
    const input = {pools, goal, limits, isMovable, isIdle, isCertain, now};
    return updateReductions(orders, input);
  }

  /** Whether an order asks for fewer endpoints than are in force. */
  isReduction(order: PoolOrder): boolean {
    const pool = this.pools.find(order);
    return pool !== undefined && order.count < pool.count;
  }

  /** Whether another number than the known one may be in force for a pool. */
  isUnconfirmed(key: PoolKey): boolean {
    return this.pools.find(key)?.isUnconfirmed ?? false;
  }

  /** Whether no request was seen yet and none runs. */
  private get isIdle(): boolean {
    const all = this.pools.listAll();
    return !this.hasDemand && all.every(({running}) => running === 0);
  }

  /** Plans the orders that are due now, the most urgent first. */
  plan(view: ScalingView, now: number): PoolOrder[] {
    if (!this.update(view, now)) return [];
    const wanted = this.listWanted(view, now);
    const increases = this.planIncreases(wanted, view, now);
    if (increases.length > 0) return increases;
    return this.planFewer(wanted, view, now);
  }

  /** Records that the platform accepted an order. */
  recordAccepted(order: PoolOrder, now: number): void {
    const pool = this.pools.find(order);
    if (pool === undefined) return;
    if (order.count < pool.count) this.reducedAt = now;
    pool.recordAccepted(order.count, now);
  }

  /**
   * Records that an order has no answer: the platform may have accepted it, or may
   * do so yet.
   */
  recordUnconfirmed(order: PoolOrder, now: number): void {
    this.pools.find(order)?.recordUnconfirmed(order.count, now);
  }

  /** Records that the platform has no such endpoints now. */
  recordRefused(order: PoolOrder, now: number): void {
    this.pools.find(order)?.recordRefused(now);
  }

  private updateNeed(view: ScalingView, now: number): void {
    const {need, isNeedCertain} = view;
    this.need ??= new NeedLevel(0, now);
    if (need > 0) this.hasDemand = true;
    if (!this.hasDemand) {
      const seen = this.pools.listCounts(({firstCount}) => firstCount);
      this.initial = Math.max(this.initial, countEndpoints(seen));
      this.need.record(this.computeFirstNeed(), now);
      return;
    }
    const least = isNeedCertain ? 0 : this.need.value;
    this.need.record(Math.max(least, need), now);
  }

  /** The first endpoints carry the load without those of one domain. */
  private computeFirstNeed(): number {
    const domains = this.pools.listDomains().length;
    return (this.initial * Math.max(1, domains - 1)) / Math.max(1, domains);
  }

  private createGoal(): MixGoal {
    const floor = this.hasDemand ? 0 : this.initial;
    return {need: this.need?.value ?? 0, floor};
  }

  /** Plans orders of more, and repeats those whose endpoints lack. */
  private planIncreases(
    wanted: readonly DomainCounts[],
    view: ScalingView,
    now: number,
  ): PoolOrder[] {
    const orders: PoolOrder[] = [];
    for (const {domain, spot} of wanted) {
      const pool = this.pools.getPool(domain, 'spot');
      const reason = 'the load needs it';
      const order = this.planPool(pool, {count: spot, reason}, [], view, now);
      if (order !== undefined) orders.push(order);
    }
    for (const order of this.planOrdinary(wanted, orders, view, now)) {
      orders.push(order);
    }
    return orders;
  }

  /** Plans ordinary endpoints for the base, and in place of missing ones. */
  private planOrdinary(
    wanted: readonly DomainCounts[],
    spotOrders: readonly PoolOrder[],
    view: ScalingView,
    now: number,
  ): PoolOrder[] {
    const {need} = this.createGoal();
    const {pools} = this;
    const base = wanted.map((entry) => {
      const {count} = pools.getPool(entry.domain, 'ordinary');
      const isEnough = count >= entry.ordinary * MIN_BASE_SHARE;
      return isEnough ? {...entry, ordinary: count} : entry;
    });
    const {limits} = view;
    const orders = spotOrders;
    const cover = planCover({pools, need, limits, wanted: base, orders, now});
    const planned: PoolOrder[] = [];
    for (const {domain, ordinary} of cover) {
      const pool = pools.getPool(domain, 'ordinary');
      const isBase = base.some(
        (entry) => entry.domain === domain && entry.ordinary >= ordinary,
      );
      const reason = isBase ? BASE_REASON : COVER_REASON;
      const goal = {count: ordinary, reason};
      const order = this.planPool(pool, goal, orders, view, now);
      if (order !== undefined) planned.push(order);
    }
    return planned;
  }

  /** @param orders Orders of the other kind that are sent before. */
  private planPool(
    pool: ScalingPool,
    {count: wanted, reason}: Pick<PoolOrder, 'count' | 'reason'>,
    orders: readonly PoolOrder[],
    {limits, areEndpointsCurrent}: ScalingView,
    now: number,
  ): PoolOrder | undefined {
    if (!pool.isAskable(now)) return undefined;
    const {key, count, isUnconfirmed} = pool;
    const room = this.pools.computeRoom(key, limits, orders);
    if (pool.isSettleable(now, limits.bootMs)) {
      const least = this.pools.computeLeast(key, limits, orders);
      const settled = Math.min(Math.max(pool.ready, least), room);
      return {...key, count: settled, reason: SETTLE_REASON};
    }
    // More may be ready than is known to be in force. Counts are absolute: an
    // order of less than is ready would take endpoints.
    const kept = pool.getKeptCount(now, limits.bootMs);
    if (Math.min(wanted, room) > count) {
      const most = Math.max(wanted, kept);
      return {...key, count: Math.min(most, room), reason};
    }
    if (!pool.isRepeatDue(now, limits.bootMs)) return undefined;
    if (!isUnconfirmed) return {...key, count, reason: MISSING_REASON};
    if (!areEndpointsCurrent) return undefined;
    return {...key, count: Math.min(kept, room), reason: UNCONFIRMED_REASON};
  }

  /** Plans orders of fewer; one at a time while requests run. */
  private planFewer(
    wanted: readonly DomainCounts[],
    view: ScalingView,
    now: number,
  ): PoolOrder[] {
    if (!isViewCertain(view)) return [];
    const {pools, isIdle, reducedAt} = this;
    const all = pools.listAll();
    if (!isIdle && now - reducedAt < REDUCTION_INTERVAL_MS) return [];
    if (!isIdle && all.some(({isLeaving}) => isLeaving)) return [];
    const goal = this.createGoal();
    const {limits, isMovable} = view;
    const input = {pools, wanted, goal, limits, isMovable, isIdle, now};
    return planReductions(input);
  }
}

/** Whether load and endpoints are known well enough to take endpoints. */
function isViewCertain(view: ScalingView): boolean {
  return view.isNeedCertain && view.areEndpointsCurrent;
}
