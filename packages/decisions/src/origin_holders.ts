/**
 * Chooses the hosts that keep the origin of a stream: the software version that
 * sent its first event. All hosts derive them from the stream's id and the live
 * hosts by rendezvous hashing. The best host of each failure domain comes
 * first, so that the loss of a domain leaves copies. A host that looks an
 * origin up asks more hosts than keep it, as its view of the live hosts may
 * differ. See docs/design/software_versions.md.
 */
import {hashText} from './hash.js';

/** A host that may keep origins. */
export interface OriginHost {
  readonly name: string;
  readonly failureDomain: string;
}

/** How many other hosts keep an origin. */
export const ORIGIN_HOLDERS = 4;
/** How many other hosts are asked for an origin at first. */
export const ORIGIN_RESPONDERS = 7;

/** Chooses holders, the most preferred first. */
export function chooseOriginHolders(
  streamId: string,
  hosts: readonly OriginHost[],
  count: number,
): string[] {
  const ranked = hosts.map(({name, failureDomain}) => ({
    name,
    failureDomain,
    hash: hashText(`${streamId}/${name}`),
  }));
  ranked.sort((a, b) => a.hash - b.hash);
  const domains = new Set<string>();
  const best: string[] = [];
  const others: string[] = [];
  for (const {name, failureDomain} of ranked) {
    if (domains.has(failureDomain)) others.push(name);
    else best.push(name);
    domains.add(failureDomain);
  }
  return [...best, ...others].slice(0, count);
}
