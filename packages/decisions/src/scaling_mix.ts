/**
 * The mix of ordinary and spot endpoints that carries a need also after losses:
 * of any failure domain, and of any domain's spot endpoints while all endpoints
 * of another domain are gone for a moment. A base of ordinary endpoints in all
 * domains carries the service when spot capacity is reclaimed; the rest is spot.
 */
import {
  countEndpoints,
  type DomainCounts,
  type ScalingLimits,
} from './scaling_model.js';

/**
 * The share of the need that ordinary endpoints carry, at 45% of their time.
 * Alone, they would be overloaded; beside the spot endpoints of two domains,
 * which remain when those of two others were reclaimed, they suffice.
 */
const BASE_SHARE = 0.3;
/** With fewer domains, only the loss of one domain is provided for. */
const MIN_DOMAINS_FOR_TWO_LOSSES = 3;

/** How many more endpoints a domain with spot capacity may have than others. */
const MAX_EXCESS_RATIO = 1.25;
const MAX_EXCESS = 2;

/** What a mix must carry. */
export interface MixGoal {
  /** The endpoints that must remain after losses. */
  readonly need: number;
  /** The least number of endpoints without losses. */
  readonly floor: number;
}

/** The most spot endpoints that a failure domain can have. */
export type SpotCaps = ReadonlyMap<string, number>;

/** Whether a mix carries a need after each loss that is provided for. */
export function isSufficient(
  counts: readonly DomainCounts[],
  {need, floor}: MixGoal,
): boolean {
  const total = countEndpoints(counts);
  return total >= floor && total - findWorstLoss(counts) >= need;
}

/** Finds the number of endpoints that the worst loss takes. */
function findWorstLoss(counts: readonly DomainCounts[]): number {
  if (counts.length < 2) return 0;
  let worst = 0;
  for (const gone of counts) {
    const inDomain = countIn(gone);
    worst = Math.max(worst, inDomain);
    if (counts.length < MIN_DOMAINS_FOR_TWO_LOSSES) continue;
    for (const reclaimed of counts) {
      if (reclaimed === gone) continue;
      worst = Math.max(worst, inDomain + reclaimed.spot);
    }
  }
  return worst;
}

interface MutableCounts {
  readonly domain: string;
  ordinary: number;
  spot: number;
}

/**
 * Computes the cheapest mix for a goal, or the one closest to it within the
 * limits.
 *
 * @param domains All failure domains of the service.
 */
export function computeMix(
  goal: MixGoal,
  domains: readonly string[],
  limits: ScalingLimits,
  spotCaps: SpotCaps,
): DomainCounts[] {
  const byPrice = [...domains].sort(
    (a, b) => getPrice(limits, a) - getPrice(limits, b) || (a < b ? -1 : 1),
  );
  const counts = createBase(goal, byPrice, limits);
  for (const entry of counts) addMinimum(entry, limits, spotCaps);
  while (!isSufficient(counts, goal)) {
    const grown = chooseDomain(counts, limits, spotCaps);
    if (grown === undefined) break;
    if (hasSpotRoom(grown, spotCaps)) grown.spot++;
    else grown.ordinary++;
  }
  return counts;
}

/**
 * Chooses the domain that gets one more endpoint: one with spot capacity, unless
 * the others have so much fewer endpoints that its loss would take too many.
 */
function chooseDomain(
  counts: readonly MutableCounts[],
  limits: ScalingLimits,
  spotCaps: SpotCaps,
): MutableCounts | undefined {
  const smallest = findSmallest(counts, limits, () => true);
  const withSpot = findSmallest(counts, limits, (entry) =>
    hasSpotRoom(entry, spotCaps),
  );
  if (smallest === undefined || withSpot === undefined) return smallest;
  const most = MAX_EXCESS_RATIO * countIn(smallest) + MAX_EXCESS;
  return countIn(withSpot) > most ? smallest : withSpot;
}

/**
 * Creates the ordinary base. Its endpoints are spread by price: a domain at half
 * the price gets twice as many. Spot endpoints make the domains equal again, so
 * that none is worse to lose.
 */
function createBase(
  {need}: MixGoal,
  byPrice: readonly string[],
  limits: ScalingLimits,
): MutableCounts[] {
  const counts = byPrice.map((domain) => ({domain, ordinary: 1, spot: 0}));
  let left = Math.ceil(need * BASE_SHARE) - counts.length;
  for (; left > 0; left--) {
    const cheapest = findCheapest(counts, limits);
    if (cheapest === undefined) break;
    cheapest.ordinary++;
  }
  return counts;
}

/** Finds the domain whose ordinary endpoints cost least with one more. */
function findCheapest(
  counts: readonly MutableCounts[],
  limits: ScalingLimits,
): MutableCounts | undefined {
  let cheapest: MutableCounts | undefined;
  let least = Infinity;
  for (const entry of counts) {
    const price = (entry.ordinary + 1) * getPrice(limits, entry.domain);
    if (entry.ordinary >= limits.maximum || price >= least) continue;
    cheapest = entry;
    least = price;
  }
  return cheapest;
}

function addMinimum(
  entry: MutableCounts,
  {minimum}: ScalingLimits,
  spotCaps: SpotCaps,
): void {
  while (countIn(entry) < minimum) {
    if (hasSpotRoom(entry, spotCaps)) entry.spot++;
    else entry.ordinary++;
  }
}

/** Finds the domain with the fewest endpoints that may have one more. */
function findSmallest(
  counts: readonly MutableCounts[],
  {maximum}: ScalingLimits,
  hasRoom: (entry: MutableCounts) => boolean,
): MutableCounts | undefined {
  let smallest: MutableCounts | undefined;
  let least = maximum;
  for (const entry of counts) {
    const total = countIn(entry);
    if (total >= least || !hasRoom(entry)) continue;
    smallest = entry;
    least = total;
  }
  return smallest;
}

function countIn({ordinary, spot}: DomainCounts): number {
  return ordinary + spot;
}

function hasSpotRoom({domain, spot}: DomainCounts, caps: SpotCaps): boolean {
  return spot < (caps.get(domain) ?? 0);
}

function getPrice({prices}: ScalingLimits, domain: string): number {
  return prices[domain] ?? 1;
}
