/**
 * Chooses which hosts a host monitors. In a small deployment each host monitors
 * all others. In a large one, hosts are ordered on a hash ring, and each
 * monitors the hosts at a few fixed distances from itself. Thus each host has
 * as many monitors as it monitors hosts, records reach all hosts in a few hops,
 * and the cost per host doesn't grow with the deployment. See
 * docs/design/membership.md.
 */
import {hashText} from './hash.js';

/** The largest deployment in which each host monitors all others. */
const FULL_MESH_HOSTS = 12;

/**
 * Chooses the hosts that a host monitors.
 *
 * @param hosts All hosts; may include the host itself.
 */
export function chooseWatchTargets(
  self: string,
  hosts: readonly string[],
): string[] {
  const ring = sortOnRing(new Set([...hosts, self]));
  const size = ring.length;
  if (size <= FULL_MESH_HOSTS) return ring.filter((host) => host !== self);
  const at = ring.indexOf(self);
  const root = Math.floor(Math.sqrt(size));
  const steps = [1, 2, root, Math.floor(size / 2)];
  const targets = steps.map((step) => ring[(at + step) % size]);
  return [...new Set(targets)].filter(
    (t) => t !== undefined && t !== self,
  ) as string[];
}

/** Sorts hosts by hash, computing it once for each host. */
function sortOnRing(hosts: Iterable<string>): string[] {
  const hashed = [...hosts].map((host) => ({host, hash: hashText(host)}));
  hashed.sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1));
  return hashed.map(({host}) => host);
}
