/**
 * Revisions of a store that may be restored from a backup. A restored store
 * reuses change numbers and reports a higher era. A revision holds the era in
 * its upper bits, so the revisions of all eras are totally ordered.
 */

/** Changes per era; they last 29 years at 1,200 per second. */
const CHANGES_PER_ERA = 2 ** 40;
/** The number of eras; the era wraps around. */
const ERAS = 2 ** 12;
/** Less than one change; exactly representable in every era. */
const HALF_CHANGE = 0.5;

/** Computes the era used in revisions from the era that the store reports. */
export function computeEra(storeEra: number): number {
  return storeEra % ERAS;
}

/** Creates the revision of a change. */
export function createRevision(era: number, change: number): number {
  return computeEra(era) * CHANGES_PER_ERA + change;
}

/** Returns the era of a revision. */
export function getEra(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}

/** Returns the store's change number of a revision. */
export function getChangeNumber(revision: number): number {
  return Math.floor(revision) - getEra(revision) * CHANGES_PER_ERA;
}

/**
 * Returns the revision for rows whose state is known only from a full read,
 * such as deleted rows: after the last change and before the next, so that
 * hosts that hold the last change fetch these rows.
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
