/**
 * Holds the orders of endpoints, as the platform's API accepted them, against
 * what is promised: the number in a failure domain stays within its limits, an
 * order of fewer leaves what the load needs also without any one domain, and
 * after the faults each pool holds what was ordered.
 */
import type {
  ApiCall,
  ApiOrder,
  SoakScaling,
} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import type {Witness} from './witness.js';

/** The endpoints of one kind in a failure domain, as the platform has them. */
export interface PlatformPool {
  readonly failureDomain: string;
  readonly isSpot: boolean;
  /** The number of the last order. */
  readonly ordered: number;
  /** Endpoints that are there, boot or come back; none that were told to leave. */
  readonly present: number;
  /** Endpoints that serve and were not told to leave. */
  readonly ready: number;
}

/** The share of the slots that the load may take, as docs/design/scaling.md says. */
const MAX_SLOT_SHARE = 0.7;
/** The least load over this time counts, in ms; hosts report once a second. */
const LOAD_MS = 2500;
/** A host knows of endpoints that were lost or announced after so long, in ms. */
const CONTACT_MS = 3000;

/** The witness. */
export class ScalingWitness {
  /** What broke a promise, in words that name who and what. */
  readonly faults: string[] = [];
  /** The endpoints that work on each attempt. */
  private readonly running = new Map<string, string[]>();
  private readonly loads: {readonly load: number; readonly at: number}[] = [];
  private reclaimedAt = -Infinity;

  constructor(
    private readonly disturbances: Disturbances,
    private readonly scaling: SoakScaling,
  ) {}

  /** Records that an endpoint begins to work on an attempt. */
  recordStart(attemptId: string, endpoint: string, at: number): void {
    const endpoints = this.running.get(attemptId) ?? [];
    this.running.set(attemptId, [...endpoints, endpoint]);
    this.recordLoad(at);
  }

  /** Records that an endpoint no longer works on an attempt. */
  recordEnd(attemptId: string, endpoint: string, at: number): void {
    const endpoints = [...(this.running.get(attemptId) ?? [])];
    const index = endpoints.indexOf(endpoint);
    if (index >= 0) endpoints.splice(index, 1);
    if (endpoints.length > 0) this.running.set(attemptId, endpoints);
    else this.running.delete(attemptId);
    this.recordLoad(at);
  }

  /**
   * Records that an endpoint ends as announced, after the faults. A stream there
   * that may run again has to run elsewhere by then.
   */
  recordAnnouncedEnd(
    endpoint: string,
    attempts: Pick<Witness, 'isMovable'>,
  ): void {
    for (const [attemptId, endpoints] of this.running) {
      const isOnlyThere = endpoints.every((one) => one === endpoint);
      if (!isOnlyThere || !attempts.isMovable(attemptId)) continue;
      this.faults.push(`${attemptId} was still at ${endpoint} when it ended`);
    }
  }

  /** Records that the platform announced the end of spot endpoints. */
  recordReclaim(at: number): void {
    this.reclaimedAt = at;
  }

  /**
   * Records an order that the platform accepted.
   *
   * @param pools The pools as they were before it.
   */
  recordOrder(
    {order, holder}: Pick<ApiCall, 'order' | 'holder'>,
    pools: readonly PlatformPool[],
    at: number,
  ): void {
    if (order === undefined) return;
    const isInTouch = this.isInTouch(holder, at);
    this.checkLimits(order, pools, isInTouch, this.isRestored(at));
    if (!isInTouch) return;
    const rest = pools.map((pool) =>
      isPoolOf(pool, order) ? applyOrder(pool, order.count) : pool,
    );
    const isFewer = pools.some(
      (pool) => isPoolOf(pool, order) && order.count < pool.present,
    );
    const need = this.computeNeed(at);
    const left = countWithoutOneDomain(rest);
    if (!isFewer || left >= need) return;
    const what = `${formatOrder(order)} leaves ${left} without one domain`;
    this.faults.push(`${what}, the load needs ${need.toFixed(1)}`);
  }

  /** Lists what lacks for the load, and in each pool. */
  listMissing(pools: readonly PlatformPool[], at: number): string[] {
    const missing: string[] = [];
    for (const {failureDomain, isSpot, ordered, ready} of pools) {
      if (ready >= ordered) continue;
      const kind = isSpot ? 'spot' : 'ordinary';
      missing.push(`${ready} of ${ordered} ${kind} in ${failureDomain}`);
    }
    const ready = pools.reduce((sum, pool) => sum + pool.ready, 0);
    const need = this.computeNeed(at);
    if (ready < need) {
      missing.push(`${ready} in all, the load needs ${need.toFixed(1)}`);
    }
    return missing;
  }

  /** The endpoints that the least load of the last time needs; a fraction. */
  private computeNeed(at: number): number {
    this.recordLoad(at);
    const least = Math.min(...this.loads.map(({load}) => load));
    return least / (this.scaling.slots * MAX_SLOT_SHARE);
  }

  private recordLoad(at: number): void {
    this.loads.push({load: this.running.size, at});
    // The first one kept is the load at the beginning of the time.
    while ((this.loads[1]?.at ?? Infinity) <= at - LOAD_MS) this.loads.shift();
  }

  /**
   * The platform keeps the number of an order whose endpoints it reclaims, so that
   * it counts against the maximum.
   */
  private checkLimits(
    order: ApiOrder,
    pools: readonly PlatformPool[],
    isInTouch: boolean,
    isRestored: boolean,
  ): void {
    const {minimum, maximum} = this.scaling;
    let least = order.count;
    let most = order.count;
    for (const {failureDomain, isSpot, present, ordered} of pools) {
      if (failureDomain !== order.failureDomain) continue;
      if (isSpot === order.isSpot) continue;
      least += present;
      most += isRestored ? present : Math.max(present, ordered);
    }
    if ((least >= minimum || !isInTouch) && most <= maximum) return;
    const sum = most > maximum ? most : least;
    const limits = `${minimum} to ${maximum}`;
    this.faults.push(`${formatOrder(order)} makes ${sum}, not ${limits}`);
  }

  /** A restored store may have lost the row that names the orders in force. */
  private isRestored(at: number): boolean {
    return this.disturbances
      .listBetween('', 0, at)
      .some(({part, host}) => part === 'store' && host === undefined);
  }

  /** Whether the sender of an order can know what endpoints there are. */
  private isInTouch(holder: string, at: number): boolean {
    const from = at - CONTACT_MS;
    if (this.reclaimedAt >= from) return false;
    const parts = ['endpoints', 'hosts', 'store'];
    return !this.disturbances
      .listBetween(holder, from, at)
      .some(({part}) => parts.includes(part));
  }
}

function isPoolOf(
  {failureDomain, isSpot}: PlatformPool,
  order: ApiOrder,
): boolean {
  return failureDomain === order.failureDomain && isSpot === order.isSpot;
}

/** The platform may end any endpoint, also a ready one while others boot. */
function applyOrder(pool: PlatformPool, count: number): PlatformPool {
  const taken = Math.max(0, pool.present - count);
  return {...pool, ready: Math.max(0, pool.ready - taken)};
}

function countWithoutOneDomain(pools: readonly PlatformPool[]): number {
  const byDomain = new Map<string, number>();
  for (const {failureDomain, ready} of pools) {
    byDomain.set(failureDomain, (byDomain.get(failureDomain) ?? 0) + ready);
  }
  const counts = [...byDomain.values()];
  return counts.reduce((sum, one) => sum + one, 0) - Math.max(0, ...counts);
}

function formatOrder({failureDomain, isSpot, count}: ApiOrder): string {
  return `an order of ${count} ${isSpot ? 'spot' : 'ordinary'} in ${failureDomain}`;
}
