/**
 * Chooses the hosts that try to become the leader for a task that only one host
 * performs at a time. Hosts that see the same members choose the same
 * candidates. If they see different members, a lease or a compare-and-set on
 * the store still ensures a single leader.
 */
import {hashText} from './hash.js';

/** Chooses up to `count` hosts by rendezvous hash of the task, best first. */
export function chooseLeaderCandidates(
  task: string,
  hostIds: readonly string[],
  count: number,
): string[] {
  const ranked = hostIds.map((hostId) => ({
    hostId,
    rank: hashText(`${task} ${hostId}`),
  }));
  ranked.sort((a, b) => a.rank - b.rank || (a.hostId < b.hostId ? -1 : 1));
  return ranked.slice(0, count).map(({hostId}) => hostId);
}
