/**
 * Which hosts try to do a piece of work that one host does at a time. All
 * hosts that see the same members choose the same ones; when they do not, a
 * lease or a compare-and-set keeps the work single.
 */
import {hashText} from './hash.js';

/** Chooses up to `count` hosts for a duty, the first in line first. */
export function chooseLeaderCandidates(
  duty: string,
  hostIds: readonly string[],
  count: number,
): string[] {
  const ranked = hostIds.map((hostId) => ({
    hostId,
    rank: hashText(`${duty} ${hostId}`),
  }));
  ranked.sort((a, b) => a.rank - b.rank || (a.hostId < b.hostId ? -1 : 1));
  return ranked.slice(0, count).map(({hostId}) => hostId);
}
