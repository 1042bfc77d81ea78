/**
 * The terms of scaling: a service has two kinds of capacity in each failure
 * domain. Spot capacity is cheap, and the platform may reclaim it at short
 * notice. The endpoints of one kind in one domain are a pool.
 */

/** The kinds of capacity. */
export const CAPACITY_KINDS = ['ordinary', 'spot'] as const;
/** A kind of capacity. */
export type CapacityKind = (typeof CAPACITY_KINDS)[number];

/** Returns the kind that shares the limits of a failure domain with a kind. */
export function getOtherKind(kind: CapacityKind): CapacityKind {
  return kind === 'spot' ? 'ordinary' : 'spot';
}

/** Identifies a pool of a service. */
export interface PoolKey {
  readonly domain: string;
  readonly kind: CapacityKind;
}

/** The endpoints of a pool as they are now. */
export interface PoolView extends PoolKey {
  /** Endpoints that accept requests. */
  readonly ready: number;
  /** Endpoints that are leaving. */
  readonly leaving: number;
  /** Requests that run on the ready ones. */
  readonly running: number;
}

/** The limits and prices of a service. */
export interface ScalingLimits {
  /** The fewest and the most endpoints of both kinds in a failure domain. */
  readonly minimum: number;
  readonly maximum: number;
  /** The time from an order to the readiness of its endpoints, in ms. */
  readonly bootMs: number;
  /** Undefined if there is no spot capacity. */
  readonly spotPrice?: number | undefined;
  /** The relative prices of ordinary endpoints by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}

/** An order: how many endpoints a pool shall hold. */
export interface PoolOrder extends PoolKey {
  readonly count: number;
  /** Why it is given, for the log. */
  readonly reason: string;
}

/** An order that the platform accepted last for a pool. */
export interface StandingOrder extends PoolKey {
  readonly count: number;
  /**
   * When it was accepted, in ms by the monotonic clock; undefined if an earlier
   * holder of the task gave it.
   */
  readonly givenAt: number | undefined;
}

/** Numbers of endpoints in the failure domains of a service. */
export interface DomainCounts {
  readonly domain: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** Sums both kinds over all domains. */
export function countEndpoints(counts: readonly DomainCounts[]): number {
  return counts.reduce((sum, {ordinary, spot}) => sum + ordinary + spot, 0);
}

/** Finds a failure domain's counts; none counts as 0. */
export function getDomainCounts(
  counts: readonly DomainCounts[],
  domain: string,
): DomainCounts {
  const found = counts.find((entry) => entry.domain === domain);
  return found ?? {domain, ordinary: 0, spot: 0};
}
