/**
 * Which endpoint a request runs on. Two endpoints are drawn at random and the
 * better one is taken, so that hosts which choose at the same moment from the
 * same late reports do not all choose the same; the endpoint that probably
 * holds the longest part of the prompt is a third candidate.
 * docs/design/endpoint_choice.md.
 */
import type {Random} from '@irisdock/kernel';

/** An endpoint as a host sees it. */
export interface EndpointView {
  readonly address: string;
  readonly failureDomain: string;
  /** Whether the last look found it answering. */
  readonly isAnswering: boolean;
  /** Whether a stream there was silent of late, though it answers. */
  readonly isQuiet: boolean;
  /** The part of its recent streams that was lost, from 0 to 1. */
  readonly lossRate: number;
  readonly slots: number;
  /** Running and waiting by its own last report. */
  readonly reportedLoad: number;
  /** What this host sent less what ended here since that report. */
  readonly sentSinceReport: number;
  /** What this host has in flight there. */
  readonly inFlight: number;
}

/** What a request asks of an endpoint. */
export interface ChoiceRequest {
  /** Blocks of the prompt, for prefix hints. */
  readonly blockCount: number;
  /** Endpoints that just failed this request. */
  readonly avoidAddresses: ReadonlySet<string>;
  /** Whether one that failed it may be tried again before it answers. */
  readonly mayRetryLost: boolean;
  /** Failure domains to keep away from while others have room. */
  readonly avoidDomains: ReadonlySet<string>;
  /** Failure domains to prefer; empty for none. */
  readonly preferDomains: ReadonlySet<string>;
  /** The load, as a part of the slots, from which there is no room. */
  readonly maxLoad: number;
}

/** Gives the leading blocks that an endpoint probably has. */
export type CountPrefixHits = (address: string) => number;

const LOSS_WEIGHT = 3;
const HIT_WEIGHT = 0.5;
const AVOID_WEIGHT = 2;
const PREFER_WEIGHT = 0.25;

/** Chooses an endpoint; undefined when none has room. */
export function chooseEndpoint(
  endpoints: readonly EndpointView[],
  request: ChoiceRequest,
  countHits: CountPrefixHits,
  random: Random,
): EndpointView | undefined {
  const usable = findUsable(endpoints, request);
  const withRoom = findLively(
    usable.filter((e) => getLoad(e) < request.maxLoad),
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

/** Gives an endpoint's load as a part of its slots. */
export function getLoad(endpoint: EndpointView): number {
  const known = endpoint.reportedLoad + endpoint.sentSinceReport;
  return Math.max(known, endpoint.inFlight) / Math.max(1, endpoint.slots);
}

/**
 * Gives the endpoints that may be tried. When no endpoint seems to answer,
 * what this host believes is worth less than a try: all are usable then, but
 * for a request that waits instead, only those that it did not try yet.
 */
function findUsable(
  endpoints: readonly EndpointView[],
  request: ChoiceRequest,
): readonly EndpointView[] {
  const answering = endpoints.filter((e) => e.isAnswering);
  const pool = answering.length > 0 ? answering : endpoints;
  const fresh = pool.filter((e) => !request.avoidAddresses.has(e.address));
  if (fresh.length > 0) return fresh;
  return request.mayRetryLost ? pool : answering;
}

/** Gives those whose streams go on, or all when there is none such. */
function findLively(endpoints: readonly EndpointView[]): EndpointView[] {
  const lively = endpoints.filter((e) => !e.isQuiet);
  return lively.length > 0 ? lively : [...endpoints];
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
  return drawn.filter((e) => e !== undefined);
}

function findHolder(
  endpoints: readonly EndpointView[],
  countHits: CountPrefixHits,
): EndpointView | undefined {
  let holder: EndpointView | undefined;
  let most = 0;
  for (const endpoint of endpoints) {
    const hits = countHits(endpoint.address);
    if (hits < most || hits === 0) continue;
    const busier = holder !== undefined && getLoad(endpoint) > getLoad(holder);
    if (hits === most && busier) continue;
    holder = endpoint;
    most = hits;
  }
  return holder;
}

function computeScore(
  endpoint: EndpointView,
  request: ChoiceRequest,
  countHits: CountPrefixHits,
): number {
  const {blockCount} = request;
  const hits = blockCount === 0 ? 0 : countHits(endpoint.address) / blockCount;
  const {failureDomain} = endpoint;
  const avoided = request.avoidDomains.has(failureDomain) ? AVOID_WEIGHT : 0;
  const preferred = request.preferDomains.has(failureDomain)
    ? PREFER_WEIGHT
    : 0;
  return (
    getLoad(endpoint) +
    LOSS_WEIGHT * endpoint.lossRate +
    avoided -
    preferred -
    HIT_WEIGHT * hits
  );
}
