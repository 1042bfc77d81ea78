/**
 * Chooses the endpoint that runs a request, by power of two choices: the better
 * of two random endpoints is taken, so that hosts which choose at the same time
 * from the same outdated load reports do not all choose the same one. A third
 * candidate is the endpoint that probably caches the longest prefix of the
 * prompt. See docs/design/endpoint_choice.md.
 */
import type {Random} from '@irisdock/kernel';

/** An endpoint as one host sees it. */
export interface EndpointView {
  readonly address: string;
  readonly failureDomain: string;
  /** Whether it answered the last polls. */
  readonly isAnswering: boolean;
  /** Whether a stream recently produced no tokens there though it answers. */
  readonly isQuiet: boolean;
  /** The recent share of its streams that were lost, from 0 to 1. */
  readonly lossRate: number;
  /** How many requests it runs at a time. */
  readonly slots: number;
  /** Running and queued requests by its own last report. */
  readonly reportedLoad: number;
  /** Requests of this host sent minus those ended, since that report. */
  readonly sentSinceReport: number;
  /** Requests of this host in flight there. */
  readonly inFlight: number;
}

/** What a request requires of an endpoint. */
export interface ChoiceRequest {
  /** The number of prompt blocks, to score prefix hits; 0 if unknown. */
  readonly blockCount: number;
  /** Endpoints that have just failed this request. */
  readonly avoidAddresses: ReadonlySet<string>;
  /** Whether an endpoint that failed it may be retried before it answers. */
  readonly mayRetryLost: boolean;
  /** Failure domains to avoid if others have room. */
  readonly avoidDomains: ReadonlySet<string>;
  /** Failure domains to prefer; empty for none. */
  readonly preferDomains: ReadonlySet<string>;
  /** The load per slot from which an endpoint has no room. */
  readonly maxLoad: number;
}

/** Returns how many leading prompt blocks an endpoint probably caches. */
export type CountPrefixHits = (address: string) => number;

// Weights of a score in which 1 is the load of a full endpoint.
/** Cost of an endpoint that loses all its streams. */
const LOSS_WEIGHT = 3;
/** Benefit of an endpoint that caches the whole prompt. */
const HIT_WEIGHT = 0.5;
/** Cost of a failure domain to avoid. */
const AVOID_WEIGHT = 2;
/** Benefit of a preferred failure domain. */
const PREFER_WEIGHT = 0.25;

/** Chooses an endpoint; undefined if none has room. */
export function chooseEndpoint(
  endpoints: readonly EndpointView[],
  request: ChoiceRequest,
  countHits: CountPrefixHits,
  random: Random,
): EndpointView | undefined {
  const usable = findUsable(endpoints, request);
  const withRoom = findProgressing(
    usable.filter((endpoint) => getLoad(endpoint) < request.maxLoad),
  );
  const candidates = chooseCandidates(withRoom, request, countHits, random);
  let best: EndpointView | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const score = computeScore(candidate, request, countHits);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Returns the load of an endpoint per slot. */
export function getLoad(endpoint: EndpointView): number {
  const knownLoad = endpoint.reportedLoad + endpoint.sentSinceReport;
  return Math.max(knownLoad, endpoint.inFlight) / Math.max(1, endpoint.slots);
}

/**
 * Finds the endpoints that may be tried. If none seems to answer, this host may
 * be wrong, so all are usable; but a request that can wait tries only those
 * that have not failed it yet.
 */
function findUsable(
  endpoints: readonly EndpointView[],
  request: ChoiceRequest,
): readonly EndpointView[] {
  const answering = endpoints.filter((endpoint) => endpoint.isAnswering);
  const candidates = answering.length > 0 ? answering : endpoints;
  const untried = candidates.filter(
    (endpoint) => !request.avoidAddresses.has(endpoint.address),
  );
  if (untried.length > 0) return untried;
  return request.mayRetryLost ? candidates : answering;
}

/** Finds the endpoints whose streams make progress; all if there are none. */
function findProgressing(endpoints: readonly EndpointView[]): EndpointView[] {
  const progressing = endpoints.filter((endpoint) => !endpoint.isQuiet);
  return progressing.length > 0 ? progressing : [...endpoints];
}

function chooseCandidates(
  endpoints: readonly EndpointView[],
  request: ChoiceRequest,
  countHits: CountPrefixHits,
  random: Random,
): EndpointView[] {
  if (endpoints.length <= 2) return [...endpoints];
  const first = random.getInt(endpoints.length);
  const second =
    (first + 1 + random.getInt(endpoints.length - 1)) % endpoints.length;
  const drawn = [endpoints[first], endpoints[second]];
  if (request.blockCount > 0) drawn.push(findHolder(endpoints, countHits));
  return drawn.filter((endpoint) => endpoint !== undefined);
}

/** Finds the endpoint with most prefix hits; of equal ones the least loaded. */
function findHolder(
  endpoints: readonly EndpointView[],
  countHits: CountPrefixHits,
): EndpointView | undefined {
  let holder: EndpointView | undefined;
  let mostHits = 0;
  for (const endpoint of endpoints) {
    const hits = countHits(endpoint.address);
    if (hits < mostHits || hits === 0) continue;
    const isBusier =
      holder !== undefined && getLoad(endpoint) > getLoad(holder);
    if (hits === mostHits && isBusier) continue;
    holder = endpoint;
    mostHits = hits;
  }
  return holder;
}

/** Computes the cost of an endpoint for a request; the lowest is chosen. */
function computeScore(
  endpoint: EndpointView,
  request: ChoiceRequest,
  countHits: CountPrefixHits,
): number {
  const {blockCount} = request;
  const hits = blockCount === 0 ? 0 : countHits(endpoint.address) / blockCount;
  const {failureDomain} = endpoint;
  const avoidCost = request.avoidDomains.has(failureDomain) ? AVOID_WEIGHT : 0;
  const preferBenefit = request.preferDomains.has(failureDomain)
    ? PREFER_WEIGHT
    : 0;
  return (
    getLoad(endpoint) +
    LOSS_WEIGHT * endpoint.lossRate +
    avoidCost -
    preferBenefit -
    HIT_WEIGHT * hits
  );
}
