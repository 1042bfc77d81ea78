/**
 * Revisions of a store that may be restored from an older copy. After a restore
 * it reuses change numbers and reports a higher era. A revision has the era in
 * its upper bits, so revisions of all eras have one total order.
 */

/** Changes per era; 29 years at 1,200 a second. */
const CHANGES_PER_ERA = 2 ** 40;
/** Distinct eras; the era wraps around. */
const ERAS = 2 ** 12;
/** Less than one change; exact for every era. */
const HALF_CHANGE = 0.5;

/** Gives the era of revisions for the era that the store names. */
export function computeEra(storeEra: number): number {
  return storeEra % ERAS;
}

/** Creates the revision of a change. */
export function createRevision(era: number, change: number): number {
  return computeEra(era) * CHANGES_PER_ERA + change;
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
 * Gives the revision of rows whose state only a whole read shows, such as
 * deleted ones: after the last change and before the next, so that holders of
 * the last change fetch them.
 */
export function getSettledRevision(revision: number): number {
  return revision + HALF_CHANGE;
}

/** Formats a revision for logs: the era, unless it is 0, and the change. */
export function formatRevision(revision: number): string {
  const era = getEra(revision);
  const change = String(getChangeNumber(revision));
  return era === 0 ? change : `${era}.${change}`;
}
