/**
 * Chooses the endpoint for a call to a plain service: the one with the lowest
 * expected latency, by its load and its recent response times.
 */

/** An endpoint of a plain service as one host sees it. */
export interface PlainEndpointView {
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
/** Relative jitter, so that hosts choosing at the same time spread out. */
const JITTER = 0.3;

/**
 * Chooses an endpoint; undefined when all are excluded.
 *
 * @param getSpread Returns a random number from 0 to 1.
 */
export function choosePlainEndpoint<V extends PlainEndpointView>(
  endpoints: Iterable<V>,
  excluded: ReadonlySet<string>,
  getSpread: () => number,
): V | undefined {
  let best: V | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    if (excluded.has(endpoint.instanceId)) continue;
    const cost = computePlainCost(endpoint) * (1 + JITTER * getSpread());
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
