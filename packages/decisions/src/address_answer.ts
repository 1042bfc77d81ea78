/**
 * Which hosts a caller is told to use: those of the caller's failure domain,
 * as calls within a domain are quicker and cost less, and some of others in
 * case that the domain is lost or has few hosts left. Which they are is drawn
 * anew for each answer, so that callers spread over all hosts, and for how long
 * an answer is kept differs too, so that they do not all come back at once.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import type {MemberNote} from './member.js';

/** How many hosts an answer lists. */
export interface AnswerLimits {
  readonly maxHosts: number;
  /** Hosts of other failure domains that are listed at least. */
  readonly minOtherDomain: number;
  /** Hosts that are listed at least, if so many serve. */
  readonly minHosts: number;
}

/** One address of the answer. */
export interface ListedAddress {
  readonly address: string;
  readonly failureDomain: string;
}

/** What a caller is told. */
export interface AddressAnswer {
  readonly addresses: readonly ListedAddress[];
  readonly keepForSeconds: number;
}

const SIZE: AnswerLimits = {maxHosts: 4, minOtherDomain: 1, minHosts: 4};
const SPREAD_STEPS = 1000;

/**
 * Chooses the hosts of an answer: near ones first, in random order.
 *
 * @param callerDomain The caller's failure domain; undefined when it is not
 *     told, and all hosts are alike.
 */
export function chooseHosts<H extends {readonly failureDomain: string}>(
  serving: readonly H[],
  callerDomain: string | undefined,
  size: AnswerLimits,
  random: Random,
): H[] {
  const shuffled = getShuffled(serving, random);
  const near = shuffled.filter((host) => host.failureDomain === callerDomain);
  const far = shuffled.filter((host) => host.failureDomain !== callerDomain);
  const nearCount = Math.min(
    near.length,
    size.maxHosts - Math.min(size.minOtherDomain, far.length),
  );
  const farCount = Math.max(size.minOtherDomain, size.minHosts - nearCount);
  return [...near.slice(0, nearCount), ...far.slice(0, farCount)];
}

/** Builds an answer from the hosts that serve. */
export function chooseAddresses(
  serving: readonly MemberNote[],
  callerDomain: string | undefined,
  keepSeconds: number,
  random: Random,
): AddressAnswer {
  const chosen = chooseHosts(serving, callerDomain, SIZE, random);
  const addresses = chosen.map(({callerAddress, failureDomain}) => ({
    address: callerAddress,
    failureDomain,
  }));
  const spread = random.getInt(SPREAD_STEPS) / SPREAD_STEPS;
  return {
    addresses,
    keepForSeconds: Math.ceil(keepSeconds * (0.75 + spread / 2)),
  };
}
