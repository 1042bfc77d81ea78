/**
 * Whom a host watches. In a small deployment everybody watches everybody; in
 * a large one each host has its place on a ring and watches the hosts a few
 * fixed steps on. Every host then has as many watchers as it watches, all
 * hosts are joined in a few steps, and no cost grows with their number:
 * docs/design/membership.md.
 */
import {hashText} from './hash.js';

const ALL_BELOW = 12;

/** Gives the hosts that a host watches, out of all, itself included. */
export function chooseWatchTargets(
  self: string,
  hosts: readonly string[],
): string[] {
  const ring = sortOnRing(new Set([...hosts, self]));
  const size = ring.length;
  if (size <= ALL_BELOW) return ring.filter((host) => host !== self);
  const at = ring.indexOf(self);
  const root = Math.floor(Math.sqrt(size));
  const steps = [1, 2, root, Math.floor(size / 2)];
  const targets = steps.map((step) => ring[(at + step) % size]);
  return [...new Set(targets)].filter(
    (t) => t !== undefined && t !== self,
  ) as string[];
}

/** Sorts by a hash, worked out once for each host. */
function sortOnRing(hosts: Iterable<string>): string[] {
  const places = [...hosts].map((host) => ({host, place: hashText(host)}));
  places.sort((a, b) => a.place - b.place || (a.host < b.host ? -1 : 1));
  return places.map(({host}) => host);
}
