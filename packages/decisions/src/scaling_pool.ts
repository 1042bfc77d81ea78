/**
 * What is known of one pool over time: what was ordered, whether the platform
 * has such endpoints, and whether the pool has what was ordered.
 */
import type {PoolKey, PoolView, StandingOrder} from './scaling_model.js';

/** What outlasts a change of the holder. */
export interface PoolState extends PoolKey {
  /** The number in force: ordered last, or seen before the first order. */
  readonly count: number;
  /** Whether an order set that number; otherwise, more may be seen. */
  readonly isOrdered: boolean;
  /** Whether the platform is not known to have the endpoints now. */
  readonly isUnavailable: boolean;
  /**
   * Numbers of orders whose outcome is not known. Each may stand in place of
   * `count`, until an order of this pool is accepted.
   */
  readonly unconfirmed: readonly number[];
}

/**
 * How long a pool that was refused is not asked for again, in ms: short during a
 * usual shortage, also of two domains in a row (17 s), and longer after more
 * refusals than that.
 */
const REFUSAL_PAUSE_MS = 3000;
const LONG_REFUSAL_PAUSE_MS = 15_000;
const MAX_SHORT_PAUSES = 8;
/** How long a pool that grew is not reduced, in ms. */
const GROWTH_HOLD_MS = 20_000;
/**
 * The time beyond that of the boot after which a pool that lacks endpoints is
 * ordered again, in ms. Endpoints that were lost return by themselves sooner.
 */
const REPEAT_DELAY_MS = 3000;
/**
 * How long more endpoints than were ordered are taken for ones that the last order
 * takes and that are not announced yet, in ms. A slow platform answers within the
 * timeout of a call and may carry an order out seconds later.
 */
const CARRY_OUT_MS = 20_000;
/**
 * How much longer than they drain, endpoints that an order of ours takes may be
 * seen as leaving, in ms: the drain begins and ends with some delay.
 */
const DRAIN_DELAY_MS = 2000;
/**
 * After refusals over this time, a pool is taken to have no more, in ms. After
 * 15 s, other domains were ordered more for the rest of a usual shortage of two
 * domains, and less again after it.
 */
const LONG_REFUSAL_MS = 30_000;
/** The time between two orders of a pool that was refused for long, in ms. */
const TRIAL_INTERVAL_MS = 30_000;

/** One pool. */
export class ScalingPool {
  private refusedAt = -Infinity;
  /** Refusals since the last accepted order. */
  private refusals = 0;
  /** When the first of the refusals without an accepted order was. */
  private firstRefusedAt: number | undefined;
  private grownAt = -Infinity;
  private orderedAt = -Infinity;
  /** When this process gave the order in force; undefined if it did not. */
  private givenAt: number | undefined;
  /** Endpoints that orders took, until they are gone. */
  private taken = 0;
  private shortSince: number | undefined;
  /** The numbers that may stand in place of the one in force. */
  private readonly unconfirmed = new Set<number>();
  private unconfirmedAt = -Infinity;
  /** When the number of ready endpoints changed last, or was not current. */
  private changedAt = -Infinity;
  /** Whether endpoints of this pool were reclaimed and are not gone yet. */
  private isBeingReclaimed = false;

  private constructor(
    readonly key: PoolKey,
    private inForce: number,
    /** Whether an order of ours set the number in force. */
    private isOrdered: boolean,
    private isReclaimed: boolean,
    private view: PoolView,
  ) {}

  /** Creates a pool for which nothing was ordered. */
  static createSeen(view: PoolView): ScalingPool {
    const {domain, kind} = view;
    return new ScalingPool({domain, kind}, view.ready, false, false, view);
  }

  /** Creates a pool as an earlier holder left it. */
  static createFrom(state: PoolState, now: number): ScalingPool {
    const {domain, kind, count, isOrdered, isUnavailable} = state;
    const {unconfirmed} = state;
    const key = {domain, kind};
    const view = {...key, ready: 0, leaving: 0, running: 0};
    const pool = new ScalingPool(key, count, isOrdered, isUnavailable, view);
    pool.grownAt = now;
    pool.orderedAt = now;
    pool.changedAt = now;
    if (isUnavailable) pool.refusedAt = now;
    for (const number of unconfirmed) pool.recordUnconfirmed(number, now);
    return pool;
  }

  /** The number in force. */
  get count(): number {
    return this.inForce;
  }

  /** The least number that may be in force. */
  get leastCount(): number {
    return Math.min(this.inForce, ...this.unconfirmed);
  }

  /** The highest number that may be in force. */
  get mostCount(): number {
    return Math.max(this.inForce, ...this.unconfirmed);
  }

  /** Whether another number than the known one may be in force. */
  get isUnconfirmed(): boolean {
    return this.unconfirmed.size > 0;
  }

  /** The endpoints seen before the first order; 0 after it. */
  get firstCount(): number {
    return this.isOrdered || this.isUnconfirmed ? 0 : this.inForce;
  }

  /** The order in force; undefined before the first one. */
  get order(): StandingOrder | undefined {
    const {key, inForce, isOrdered, givenAt} = this;
    return isOrdered ? {...key, count: inForce, givenAt} : undefined;
  }

  /** The endpoints that serve now. */
  get ready(): number {
    return this.view.ready;
  }

  /** The endpoints that serve now and stay, as far as is known. */
  get firm(): number {
    return Math.min(this.leastCount, this.view.ready);
  }

  /** The endpoints that will be there without another order. */
  get coming(): number {
    return this.isReclaimed ? this.firm : this.leastCount;
  }

  /** Requests that run there. */
  get running(): number {
    return this.view.running;
  }

  /** Endpoints that are leaving. */
  get leaving(): number {
    return this.view.leaving;
  }

  /** Whether endpoints of it are leaving. */
  get isLeaving(): boolean {
    return this.leaving > 0;
  }

  /** Records that so many endpoints are ready for certain. */
  recordSeen(ready: number): void {
    // Before the first order, some endpoints may be away for a moment.
    if (!this.isOrdered) this.inForce = Math.max(this.inForce, ready);
  }

  /** Records that the endpoints may have changed without being seen. */
  recordOutdated(now: number): void {
    this.changedAt = now;
  }

  /**
   * Takes the endpoints as they are now.
   *
   * @param drainMs How long endpoints drain that an order takes.
   */
  update(view: PoolView, now: number, drainMs: number): void {
    const isChanged = view.ready !== this.view.ready || view.leaving > 0;
    if (isChanged) this.changedAt = now;
    this.view = view;
    const isShort = view.ready < this.inForce;
    this.shortSince = isShort ? (this.shortSince ?? now) : undefined;
    if (this.key.kind !== 'spot') return;
    const isDrained = now - this.orderedAt >= drainMs + DRAIN_DELAY_MS;
    if (view.leaving === 0 && isDrained) this.taken = 0;
    if (isShort && view.leaving > this.taken) {
      this.isBeingReclaimed = true;
      this.isReclaimed = true;
    }
    if (!isShort) this.isReclaimed = false;
    if (view.leaving === 0 && this.isBeingReclaimed) {
      this.isBeingReclaimed = false;
      this.shortSince = -Infinity;
    }
  }

  /** Whether an order of more may be sent now. */
  isAskable(now: number): boolean {
    const isLong = this.refusals > MAX_SHORT_PAUSES;
    const pauseMs = isLong ? LONG_REFUSAL_PAUSE_MS : REFUSAL_PAUSE_MS;
    return now - this.refusedAt >= pauseMs;
  }

  /** Whether it was refused for so long that others must replace it. */
  isLongRefused(now: number): boolean {
    const {firstRefusedAt} = this;
    if (firstRefusedAt === undefined) return false;
    return now - firstRefusedAt >= LONG_REFUSAL_MS;
  }

  /**
   * Whether it may be tried again after long refusals. Capacity returns without
   * notice.
   */
  isTrialDue(now: number): boolean {
    return now - this.refusedAt >= TRIAL_INTERVAL_MS;
  }

  /**
   * Whether what is in force should be ordered again, as endpoints lack or another
   * number may be in force.
   */
  isRepeatDue(now: number, bootMs: number): boolean {
    if (this.isBeingReclaimed || !this.isAskable(now)) return false;
    if (this.isUnconfirmed && isBooted(this.unconfirmedAt, now, bootMs)) {
      return true;
    }
    const {shortSince} = this;
    if (shortSince === undefined) return false;
    const since = Math.max(shortSince, this.orderedAt);
    return isBooted(since, now, bootMs);
  }

  /**
   * Whether an order of what is ready takes nothing and settles which number is in
   * force. Such an order needs no capacity. Before the boot time and 3 s without a
   * change, endpoints may boot or be away for a moment.
   */
  isSettleable(now: number, bootMs: number): boolean {
    if (!this.isUnconfirmed || this.isLeaving) return false;
    if (this.refusedAt <= this.unconfirmedAt) return false;
    const {unconfirmedAt, orderedAt, changedAt} = this;
    const since = Math.max(unconfirmedAt, orderedAt, changedAt);
    return isBooted(since, now, bootMs);
  }

  /**
   * Returns the least number that takes no endpoint which is ready or may boot, as
   * far as is known.
   */
  getKeptCount(now: number, bootMs: number): number {
    const known = Math.max(this.inForce, this.view.ready);
    const mayBoot = !isBooted(this.unconfirmedAt, now, bootMs);
    return mayBoot ? Math.max(known, this.mostCount) : known;
  }

  /** Whether it may be reduced. */
  isReducible(now: number): boolean {
    if (!this.isAskable(now) || this.isLeaving) return false;
    // How many endpoints an order would take is not known.
    if (this.isUnconfirmed) return false;
    const isCarriedOut = this.view.ready <= this.inForce;
    if (!isCarriedOut && now - this.orderedAt < CARRY_OUT_MS) return false;
    return now - this.grownAt >= GROWTH_HOLD_MS;
  }

  /** Records that the platform accepted an order. */
  recordAccepted(count: number, now: number): void {
    const isGrowing = count > this.inForce || count > this.view.ready;
    if (isGrowing) this.grownAt = now;
    // Numbers without endpoints take none, and would hide a later reclaim.
    const there = this.view.ready + this.view.leaving - this.taken;
    const most = Math.min(this.mostCount, there);
    this.taken += Math.max(0, most - count);
    this.inForce = count;
    this.unconfirmed.clear();
    this.isOrdered = true;
    this.orderedAt = now;
    this.givenAt = now;
    this.isReclaimed = false;
    this.firstRefusedAt = undefined;
    this.refusals = 0;
  }

  /** Records that the platform may have accepted an order, or may do so yet. */
  recordUnconfirmed(count: number, now: number): void {
    this.unconfirmed.add(count);
    this.unconfirmedAt = now;
  }

  /**
   * Records that the platform has no such endpoints now. What may be in force
   * stays: a refusal changes no earlier order.
   */
  recordRefused(now: number): void {
    this.refusedAt = now;
    this.firstRefusedAt ??= now;
    this.refusals++;
    // What is missing does not come without another order.
    if (this.view.ready < this.inForce) this.isReclaimed = true;
  }

  getState(): PoolState {
    const {key, inForce, isOrdered, isReclaimed} = this;
    const unconfirmed = [...this.unconfirmed];
    const isUnavailable = isReclaimed;
    return {...key, count: inForce, isOrdered, isUnavailable, unconfirmed};
  }
}

/** Whether endpoints that an order at some time added are ready, if any come. */
function isBooted(since: number, now: number, bootMs: number): boolean {
  return now - since >= bootMs + REPEAT_DELAY_MS;
}
