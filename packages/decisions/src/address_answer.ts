/**
 * Chooses the hosts that a caller is told to use. They are mainly those of the
 * caller's failure domain, as calls within a domain are faster and cheaper, and
 * a few of other domains, in case the domain is lost or has few hosts left. The
 * choice is random for each answer, so that callers spread over all hosts. The
 * time for which an answer may be kept is random as well, so that callers do
 * not all ask again at the same time.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import type {MemberNote} from './member.js';

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
/** Number of distinct values of the random factor of the keep time. */
const JITTER_STEPS = 1000;

/**
 * Chooses the hosts of an answer, in random order, those of the caller's
 * failure domain first.
 *
 * @param callerDomain The caller's failure domain; undefined if unknown, so
 *     that all hosts count as those of other domains.
 */
export function chooseHosts<H extends {readonly failureDomain: string}>(
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
