/**
 * Chooses the hosts that a caller is told to use. They are mainly those of the
 * caller's failure domain, as calls within a domain are faster and cheaper, and
 * a few of other domains, in case the domain is lost or has few hosts left. The
 * choice is random for each answer, so that callers spread over all hosts. The
 * time for which an answer may be kept is random as well, so that callers do
 * not all ask again at the same time.
 *
 * Callers choose one of the listed hosts uniformly for each connection. Where
 * hosts are unequal, an answer therefore lists only some of them: a host is
 * listed the more often, the more it can carry. Where there are several
 * regions, an answer lists hosts of the caller's region and one of another.
 * docs/design/host_capacity.md works out the load of each kind of host.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import {
  computeHostWeights,
  computeSum,
  hasUnequalWeights,
  type SizedHost,
} from './host_capacity.js';
import type {MemberNote} from './member.js';
import {SINGLE_REGION, type Located, type RegionMap} from './proximity.js';
import {getWeightedSample} from './weighted_sample.js';

/** How many hosts an answer lists. */
export interface AnswerLimits {
  /** Maximum number of hosts. */
  readonly maxHosts: number;
  /** Minimum number of hosts of other failure domains. */
  readonly minOtherDomain: number;
  /** Minimum number of hosts, if so many serve. */
  readonly minHosts: number;
}

/** A host in an answer. */
export interface ListedAddress {
  readonly address: string;
  readonly failureDomain: string;
}

/** The hosts that a caller is told to use. */
export interface AddressAnswer {
  readonly addresses: readonly ListedAddress[];
  /** For how long the caller may use this answer. */
  readonly keepForSeconds: number;
}

const LIMITS: AnswerLimits = {maxHosts: 4, minOtherDomain: 1, minHosts: 4};
/**
 * The number of hosts in an answer where hosts are unequal or regions several.
 * With fewer hosts of the own domain, large hosts get a larger part of the
 * connections, but more connections go to other domains and regions, whose
 * bytes are expensive. One of eleven connections goes to another region; an
 * answer without such a host would be useless when a region is lost.
 */
const NEAR_LIMITS = {
  /** Hosts of the own domain, if they are unequal: at least so many. */
  minOwnDomain: 8,
  /** Hosts of other domains of the region, at least. */
  minOtherDomain: 2,
  /** Hosts of other regions, at least. */
  minOtherRegion: 1,
  /** Hosts in total, those of other regions included, if so many serve. */
  minHosts: 11,
} as const;
/** Number of distinct values of the random factor of the keep time. */
const JITTER_STEPS = 1000;

/**
 * Chooses the hosts of an answer, in random order, the nearest to the caller
 * first.
 *
 * @param callerDomain The caller's failure domain; undefined if unknown, so
 *     that all hosts count as those of other domains.
 */
export function chooseHosts<H extends Located & SizedHost>(
  serving: readonly H[],
  callerDomain: string | undefined,
  limits: AnswerLimits,
  random: Random,
  regions: RegionMap = SINGLE_REGION,
): H[] {
  const isUnequal = hasUnequalWeights(computeHostWeights(serving));
  return isUnequal || regions.hasSeveral
    ? chooseNearHosts(serving, callerDomain, limits, random, regions)
    : chooseEqualHosts(serving, callerDomain, limits, random);
}

/** Chooses among equal hosts of one region. */
function chooseEqualHosts<H extends Located>(
  serving: readonly H[],
  callerDomain: string | undefined,
  limits: AnswerLimits,
  random: Random,
): H[] {
  const shuffled = getShuffled(serving, random);
  const local = shuffled.filter((host) => host.failureDomain === callerDomain);
  const remote = shuffled.filter((host) => host.failureDomain !== callerDomain);
  const localCount = Math.min(
    local.length,
    limits.maxHosts - Math.min(limits.minOtherDomain, remote.length),
  );
  const remoteCount = Math.max(
    limits.minOtherDomain,
    limits.minHosts - localCount,
  );
  return [...local.slice(0, localCount), ...remote.slice(0, remoteCount)];
}

/** Chooses by weight: the own domain, then its region, then other regions. */
function chooseNearHosts<H extends Located & SizedHost>(
  serving: readonly H[],
  callerDomain: string | undefined,
  limits: AnswerLimits,
  random: Random,
  regions: RegionMap,
): H[] {
  const {minOtherDomain, minOtherRegion, minHosts} = NEAR_LIMITS;
  const {domain, region, elsewhere} = regions.splitByProximity(
    serving,
    callerDomain ?? '',
    ({failureDomain}) => failureDomain,
  );
  const chooseSome = (hosts: readonly H[], count: number): H[] =>
    getWeightedSample(hosts, computeHostWeights(hosts), count, random);
  const maxOwn = limits.maxHosts - minOtherDomain - minOtherRegion;
  const own = chooseSome(domain, computeOwnCount(domain, maxOwn));
  const regionCount = minHosts - own.length - minOtherRegion;
  const near = chooseSome(region, Math.max(minOtherDomain, regionCount));
  const farCount = minHosts - own.length - near.length;
  const far = chooseSome(elsewhere, Math.max(minOtherRegion, farCount));
  return [...own, ...near, ...far];
}

/**
 * Computes how many hosts of the caller's domain are listed: as many as leave
 * the heaviest host its whole share, as it is listed once at most.
 */
function computeOwnCount(hosts: readonly SizedHost[], maxOwn: number): number {
  const weights = computeHostWeights(hosts);
  if (!hasUnequalWeights(weights)) return maxOwn;
  const fairCount = Math.floor(computeSum(weights) / Math.max(...weights));
  return Math.min(maxOwn, Math.max(NEAR_LIMITS.minOwnDomain, fairCount));
}

/**
 * Creates an answer from the hosts that serve.
 *
 * @param keepSeconds The mean time for which the answer may be used; the actual
 *     time is random, from 75% to 125% of it.
 */
export function chooseAddresses(
  serving: readonly MemberNote[],
  callerDomain: string | undefined,
  keepSeconds: number,
  random: Random,
): AddressAnswer {
  const chosen = chooseHosts(serving, callerDomain, LIMITS, random);
  const addresses = chosen.map(({callerAddress, failureDomain}) => ({
    address: callerAddress,
    failureDomain,
  }));
  const jitter = random.getInt(JITTER_STEPS) / JITTER_STEPS;
  return {
    addresses,
    keepForSeconds: Math.ceil(keepSeconds * (0.75 + jitter / 2)),
  };
}
