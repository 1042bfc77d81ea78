/**
 * Which hosts a caller is told to use: live ones, those of the caller's
 * failure domain first, in an order that differs from answer to answer so
 * that callers spread, and for a time that differs too so that they do not
 * all come back at once.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import type {MemberNote} from './member.js';

/** One address of the answer. */
export interface AnsweredAddress {
  readonly address: string;
  readonly failureDomain: string;
}

/** What a caller is told. */
export interface AddressAnswer {
  readonly addresses: readonly AnsweredAddress[];
  readonly keepForSeconds: number;
}

const MAX_ADDRESSES = 4;
const SPREAD_STEPS = 1000;

/** Builds an answer from the hosts that serve. */
export function chooseAddresses(
  serving: readonly MemberNote[],
  callerDomain: string | undefined,
  keepSeconds: number,
  random: Random,
): AddressAnswer {
  const shuffled = getShuffled(serving, random);
  const near = shuffled.filter((m) => m.failureDomain === callerDomain);
  const far = shuffled.filter((m) => m.failureDomain !== callerDomain);
  const addresses = [...near, ...far].slice(0, MAX_ADDRESSES).map((member) => ({
    address: member.callerAddress,
    failureDomain: member.failureDomain,
  }));
  // The last one offered is far, in case the whole domain is lost.
  const last = far[0];
  if (near.length >= MAX_ADDRESSES && last !== undefined) {
    const {callerAddress: address, failureDomain} = last;
    addresses[MAX_ADDRESSES - 1] = {address, failureDomain};
  }
  const spread = random.getInt(SPREAD_STEPS) / SPREAD_STEPS;
  return {
    addresses,
    keepForSeconds: Math.ceil(keepSeconds * (0.75 + spread / 2)),
  };
}
