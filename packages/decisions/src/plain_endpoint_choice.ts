/**
 * Chooses the endpoint for a call to a plain service: the one with the lowest
 * expected latency, by its load and its recent response times.
 */

import type {HostPosition, Located} from './proximity.js';

/** An endpoint of a plain service as one host sees it. */
export interface PlainEndpointView extends Located {
  readonly instanceId: string;
  /** Calls that run or wait there. */
  readonly calls: number;
  /** Calls that it can run at a time. */
  readonly slots: number;
  /** The smoothed recent response time, in ms. */
  readonly answerMs: number;
  /** Recent failures, decaying over time; 0 for a healthy endpoint. */
  readonly failureScore: number;
}

/** The weight of a recent failure, in response times. */
const FAILURE_COST = 20;
/**
 * The factor by which an endpoint of another region is less preferred: as its
 * bytes cost several times as much, calls go there only when those of the own
 * region are twice as busy or slow.
 */
const REGION_COST_FACTOR = 2;
/** Relative jitter, so that hosts choosing at the same time spread out. */
const JITTER = 0.3;

/**
 * Chooses an endpoint; undefined when all are excluded.
 *
 * @param getSpread Returns a random number from 0 to 1.
 * @param position Where this host is; one region without it.
 */
export function choosePlainEndpoint<V extends PlainEndpointView>(
  endpoints: Iterable<V>,
  excluded: ReadonlySet<string>,
  getSpread: () => number,
  position?: HostPosition,
): V | undefined {
  let best: V | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    if (excluded.has(endpoint.instanceId)) continue;
    const isFar = position?.isNear(endpoint.failureDomain) === false;
    const factor = isFar ? REGION_COST_FACTOR : 1;
    const spread = 1 + JITTER * getSpread();
    const cost = computePlainCost(endpoint) * spread * factor;
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}

function computePlainCost(endpoint: PlainEndpointView): number {
  const {calls, slots, answerMs, failureScore} = endpoint;
  const rounds = 1 + (2 * calls) / Math.max(1, slots);
  return answerMs * rounds * (1 + FAILURE_COST * failureScore);
}
