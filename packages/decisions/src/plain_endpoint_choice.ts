/**
 * To which endpoint of a plain service a call goes: the one with the shortest
 * expected time, from its load and the time that its answers took of late.
 */

/** An endpoint of a plain service as one host sees it. */
export interface PlainEndpointView {
  readonly instanceId: string;
  /** Calls that run or wait there. */
  readonly calls: number;
  readonly slots: number;
  /** The usual time of an answer of late, in ms. */
  readonly answerMs: number;
  /** Recent failures, fading; 0 for a sound one. */
  readonly failureScore: number;
}

/** A failure of a moment ago costs as much as this many answers. */
const FAILURE_COST = 20;
/** Spreads choices that several hosts make at the same moment. */
const SPREAD = 0.3;

/** Chooses an endpoint; undefined when all are excluded. */
export function choosePlainEndpoint<V extends PlainEndpointView>(
  endpoints: Iterable<V>,
  excluded: ReadonlySet<string>,
  getSpread: () => number,
): V | undefined {
  let best: V | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    if (excluded.has(endpoint.instanceId)) continue;
    const cost = computePlainCost(endpoint) * (1 + SPREAD * getSpread());
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
