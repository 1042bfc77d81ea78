/** All pools of one service. */
import {
  getOtherKind,
  type CapacityKind,
  type DomainCounts,
  type PoolKey,
  type PoolOrder,
  type PoolView,
  type ScalingLimits,
} from './scaling_model.js';
import {ScalingPool, type PoolState} from './scaling_pool.js';

/** What the pools of a service are updated from. */
export interface PoolsView {
  readonly limits: ScalingLimits;
  /** The pools with endpoints; others are empty. */
  readonly pools: readonly PoolView[];
  /** How long endpoints drain that an order takes, in ms. */
  readonly drainMs: number;
  /** Whether the endpoints are known as the store has them now. */
  readonly areEndpointsCurrent: boolean;
}

/** Keeps the pools of one service, one for each failure domain and kind. */
export class ScalingPools {
  private readonly pools = new Map<string, ScalingPool>();

  /** Adds pools as an earlier holder left them. */
  addStates(states: readonly PoolState[], now: number): void {
    for (const state of states) {
      this.pools.set(formatKey(state), ScalingPool.createFrom(state, now));
    }
  }

  listStates(): PoolState[] {
    return this.listAll().map((pool) => pool.getState());
  }

  listAll(): ScalingPool[] {
    return [...this.pools.values()];
  }

  /** Takes the endpoints as they are now. */
  update(view: PoolsView, now: number): void {
    const {pools: views, limits} = view;
    const domains = new Set(Object.keys(limits.prices));
    for (const {domain} of views) domains.add(domain);
    for (const domain of this.listDomains()) domains.add(domain);
    for (const domain of domains) {
      for (const kind of ['ordinary', 'spot'] as const) {
        this.updatePool(findView(views, domain, kind), now, view);
      }
    }
  }

  private updatePool(
    view: PoolView,
    now: number,
    {drainMs, areEndpointsCurrent}: PoolsView,
  ): void {
    const key = formatKey(view);
    const pool = this.pools.get(key) ?? ScalingPool.createSeen(view);
    this.pools.set(key, pool);
    if (areEndpointsCurrent) pool.recordSeen(view.ready);
    else pool.recordOutdated(now);
    pool.update(view, now, drainMs);
  }

  /** Lists all failure domains. */
  listDomains(): string[] {
    const domains = [...this.pools.values()].map(({key}) => key.domain);
    return [...new Set(domains)].sort();
  }

  /** Counts something of each pool. */
  listCounts(count: (pool: ScalingPool) => number): DomainCounts[] {
    return this.listDomains().map((domain) => ({
      domain,
      ordinary: count(this.getPool(domain, 'ordinary')),
      spot: count(this.getPool(domain, 'spot')),
    }));
  }

  /** Returns a pool of a known failure domain. */
  getPool(domain: string, kind: CapacityKind): ScalingPool {
    const pool = this.pools.get(formatKey({domain, kind}));
    if (pool === undefined) throw new Error(`no pool ${kind} in ${domain}`);
    return pool;
  }

  /** Finds a pool. */
  find(key: PoolKey): ScalingPool | undefined {
    return this.pools.get(formatKey(key));
  }

  /**
   * Lists the most spot endpoints of each domain: one that was refused for long
   * gets no more.
   */
  listSpotCaps(
    {spotPrice, maximum}: ScalingLimits,
    now: number,
  ): Map<string, number> {
    const caps = new Map<string, number>();
    if (spotPrice === undefined || spotPrice >= 1) return caps;
    for (const domain of this.listDomains()) {
      const pool = this.getPool(domain, 'spot');
      const isCapped = pool.isLongRefused(now) && !pool.isTrialDue(now);
      caps.set(domain, isCapped ? pool.firm : maximum);
    }
    return caps;
  }

  /**
   * Computes the most endpoints that a pool may have, so that both kinds stay
   * within the maximum. Of the other kind, the highest number counts that may be
   * in force.
   *
   * @param orders Orders that are about to be sent. The platform may accept or
   *     refuse them, so the larger count is kept free.
   */
  computeRoom(
    {domain, kind}: PoolKey,
    {maximum}: ScalingLimits,
    orders: readonly PoolOrder[],
  ): number {
    const other: PoolKey = {domain, kind: getOtherKind(kind)};
    let most = this.getPool(domain, other.kind).mostCount;
    for (const order of orders) {
      if (isSamePool(order, other)) most = Math.max(most, order.count);
    }
    return Math.max(0, maximum - most);
  }

  /**
   * Computes the fewest endpoints that a pool may have, so that both kinds keep the
   * minimum. Of the other kind, the lowest number counts that may be in force.
   *
   * @param orders Orders that are about to be sent, which may be refused.
   */
  computeLeast(
    {domain, kind}: PoolKey,
    {minimum}: ScalingLimits,
    orders: readonly PoolOrder[],
  ): number {
    const other: PoolKey = {domain, kind: getOtherKind(kind)};
    let least = this.getPool(domain, other.kind).leastCount;
    for (const order of orders) {
      if (isSamePool(order, other)) least = Math.min(least, order.count);
    }
    return Math.max(0, minimum - least);
  }
}

function findView(
  views: readonly PoolView[],
  domain: string,
  kind: CapacityKind,
): PoolView {
  const found = views.find((pool) => isSamePool(pool, {domain, kind}));
  return found ?? {domain, kind, ready: 0, leaving: 0, running: 0};
}

/** Whether two keys name the same pool. */
export function isSamePool(a: PoolKey, b: PoolKey): boolean {
  return a.domain === b.domain && a.kind === b.kind;
}

function formatKey({domain, kind}: PoolKey): string {
  return `${domain}/${kind}`;
}
