/** Sums of requests by team. */
import type {TeamCounts} from './usage_counts.js';

/** Computes by how much counts are larger than those that are known. */
export function computeExcess(
  counts: ReadonlyMap<string, number>,
  known: ReadonlyMap<string, number>,
): Map<string, number> {
  const excess = new Map<string, number>();
  for (const [team, count] of counts) {
    const knownCount = known.get(team) ?? 0;
    if (count > knownCount) excess.set(team, count - knownCount);
  }
  return excess;
}

/** Adds counts to sums. */
export function addCounts(
  sums: Map<string, number>,
  counts: ReadonlyMap<string, number> = new Map(),
): void {
  for (const [team, count] of counts) {
    sums.set(team, count + (sums.get(team) ?? 0));
  }
}

/** Puts the sums of a window in their place, if there are any. */
export function putCounts(
  counts: Record<string, TeamCounts>,
  window: number,
  sums: ReadonlyMap<string, number>,
): void {
  if (sums.size > 0) counts[window] = toTeamCounts(sums);
}

/** Converts counts by team to sums. */
export function toSums(counts: TeamCounts = {}): Map<string, number> {
  return new Map(Object.entries(counts));
}

/** Converts sums to counts by team, sorted by team. */
export function toTeamCounts(sums: ReadonlyMap<string, number>): TeamCounts {
  return Object.fromEntries([...sums].sort(compareTeams));
}

function compareTeams(
  [one]: readonly [string, number],
  [other]: readonly [string, number],
): number {
  return one < other ? -1 : 1;
}
