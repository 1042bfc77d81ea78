/**
 * Revisions of a store that may come back from an older copy. It then gives out
 * the numbers of changes again, and says so by a higher era. A revision holds
 * the era before the number of the change, so that revisions of all eras have
 * one order and every comparison of two is right.
 */

/** Changes that an era can hold; 29 years at 1,200 a second. */
const CHANGES_PER_ERA = 2 ** 40;
/** Eras that are told apart; the next one counts as 0 again. */
const ERAS = 2 ** 12;
/** Less than one change; exact for every era. */
const HALF_CHANGE = 0.5;

/** Creates the revision of a change. */
export function createRevision(era: number, change: number): number {
  return (era % ERAS) * CHANGES_PER_ERA + change;
}

/** Gives the era of a revision. */
export function getEra(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}

/** Gives the number of the change of a revision, as the store knows it. */
export function getChangeNumber(revision: number): number {
  return Math.floor(revision) - getEra(revision) * CHANGES_PER_ERA;
}

/**
 * Gives the revision of what a whole read shows and no change did, as rows that
 * are gone: after the last change that was read, and before the next one. Who
 * holds that change lacks it.
 */
export function getSettledRevision(revision: number): number {
  return revision + HALF_CHANGE;
}

/** Formats a revision for people: the era, if there is one, and the change. */
export function formatRevision(revision: number): string {
  const era = getEra(revision);
  const change = String(getChangeNumber(revision));
  return era === 0 ? change : `${era}.${change}`;
}
