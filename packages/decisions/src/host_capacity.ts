/**
 * What the machine of a host can carry. Hosts may be unequal, so that an equal
 * share of requests would overload the small ones while the large ones idle.
 * A host's weight is the smaller of what its processor and its link can carry.
 * docs/design/host_capacity.md.
 */

/** The capacity of a host; 0 for what it does not tell. */
export interface HostCapacity {
  /** Its share of the processor, in cores of normal speed. */
  readonly cores: number;
  /** The rate of its network link, in Mbit/s. */
  readonly linkMbps: number;
  /** Its memory, in MB. */
  readonly memoryMb: number;
}

/** A host that may tell its capacity. */
export interface SizedHost {
  readonly capacity?: HostCapacity | undefined;
}

/**
 * The link rate that a fully used core needs, in Mbit/s. Estimated: with 78 us
 * for an event and 2.5 ms for a request (docs/CAPACITY.md), a core serves 75
 * streams per second of 140 events, each with about 40 KB in one direction.
 */
const LINK_MBPS_PER_CORE = 25;
/**
 * The ratio of the largest weight to the smallest above which hosts count as
 * unequal. Smaller differences cost less than an answer with fewer hosts.
 */
const UNEQUAL_RATIO = 1.25;

/**
 * Computes the weight of a host, in cores; undefined if it tells neither its
 * processor nor its link.
 */
export function computeHostWeight({
  cores,
  linkMbps,
}: HostCapacity): number | undefined {
  const bounds = [cores, linkMbps / LINK_MBPS_PER_CORE].filter(
    (bound) => bound > 0,
  );
  return bounds.length === 0 ? undefined : Math.min(...bounds);
}

/**
 * Computes the weights of hosts, in their order. A host that tells no capacity
 * counts as the mean of those that do; all count 1 if none does.
 */
export function computeHostWeights(hosts: readonly SizedHost[]): number[] {
  const weights = hosts.map(({capacity}) =>
    capacity === undefined ? undefined : computeHostWeight(capacity),
  );
  const told = weights.filter((weight) => weight !== undefined);
  const mean = told.length === 0 ? 1 : computeSum(told) / told.length;
  return weights.map((weight) => weight ?? mean);
}

/** Whether weights differ enough for a choice by weight. */
export function hasUnequalWeights(weights: readonly number[]): boolean {
  if (weights.length === 0) return false;
  return Math.max(...weights) > UNEQUAL_RATIO * Math.min(...weights);
}

/**
 * Computes how many hosts of the own size would have the capacity of all: an
 * equal host's share of anything is 1 by their number.
 */
export function computeHostShares(
  own: SizedHost,
  others: readonly SizedHost[],
): number {
  const weights = computeHostWeights([own, ...others]);
  const [ownWeight = 1] = weights;
  // Exact for hosts that tell nothing, which share as they always have.
  if (!hasUnequalWeights(weights)) return weights.length;
  return computeSum(weights) / ownWeight;
}

/** Computes the sum of numbers. */
export function computeSum(numbers: readonly number[]): number {
  let sum = 0;
  for (const number of numbers) sum += number;
  return sum;
}
