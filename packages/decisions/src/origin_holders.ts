/**
 * Chooses the hosts that keep the origin of a stream: the software version that
 * sent its first event. All hosts derive them from the stream's id and the live
 * hosts by rendezvous hashing. The best host of each failure domain comes
 * first, so that the loss of a domain leaves copies. Where there are several
 * regions, most holders are in the region of the host that chooses, as callers
 * mostly return there, and one in another region, where it is found after the
 * loss of the region. A host that looks an
 * origin up asks more hosts than keep it, as its view of the live hosts may
 * differ. See docs/design/software_versions.md.
 */
import {hashText} from './hash.js';
import type {HostPosition} from './proximity.js';

/** A host that may keep origins. */
export interface OriginHost {
  readonly name: string;
  readonly failureDomain: string;
}

/** How many other hosts keep an origin. */
export const ORIGIN_HOLDERS = 4;
/** How many other hosts are asked for an origin at first. */
export const ORIGIN_RESPONDERS = 7;
/** How many of them are in other regions, if there are several. */
const FAR_HOLDERS = 1;
const FAR_RESPONDERS = 3;

/**
 * Chooses holders, the most preferred first.
 *
 * @param position Where the host is that chooses; one region without it.
 */
export function chooseOriginHolders(
  streamId: string,
  hosts: readonly OriginHost[],
  count: number,
  position?: HostPosition,
): string[] {
  const ranked = sortHolders(streamId, hosts);
  if (position?.hasSeveralRegions !== true) {
    return ranked.slice(0, count).map(({name}) => name);
  }
  const {near, far} = position.splitByRegion(ranked);
  // Three of the best of the other domains include one that keeps the origin,
  // whether the stream was sent in their region or that region is lost.
  const farCount = count > ORIGIN_HOLDERS ? FAR_RESPONDERS : FAR_HOLDERS;
  const farHosts = far.slice(0, Math.max(farCount, count - near.length));
  const nearHosts = near.slice(0, count - farHosts.length);
  return [...nearHosts, ...farHosts].map(({name}) => name);
}

/** Sorts hosts by preference, the best of each failure domain first. */
function sortHolders(
  streamId: string,
  hosts: readonly OriginHost[],
): OriginHost[] {
  const ranked = hosts.map(({name, failureDomain}) => ({
    name,
    failureDomain,
    hash: hashText(`${streamId}/${name}`),
  }));
  ranked.sort((a, b) => a.hash - b.hash);
  const domains = new Set<string>();
  const best: OriginHost[] = [];
  const others: OriginHost[] = [];
  for (const host of ranked) {
    if (domains.has(host.failureDomain)) others.push(host);
    else best.push(host);
    domains.add(host.failureDomain);
  }
  return [...best, ...others];
}
