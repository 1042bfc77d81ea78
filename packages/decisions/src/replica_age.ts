/**
 * Tracks the age of a table replica: how long ago it was certainly up to date.
 * That is confirmed by a read of the store, or by a report of another host that
 * read it. A report of a revision that the replica has not reached yet counts
 * as soon as the replica has caught up.
 */

/** What a host that read the store reports of a table. */
export interface FreshnessReport {
  /** The highest revision of a change in the store. */
  readonly latestRevision: number;
  /** When the store was read, in ms on the clock of the receiver. */
  readonly at: number;
}

/** The age of a replica. */
export class ReplicaAge {
  /** When the replica was last known to be up to date, in ms. */
  private confirmedAt = -Infinity;
  /** The latest report of a revision that the replica has not reached yet. */
  private ahead: FreshnessReport | undefined;

  /** Returns the age in ms; Infinity if the replica was never confirmed. */
  getAgeMs(now: number): number {
    return now - this.confirmedAt;
  }

  /** Records that a read of the store has brought the replica up to date. */
  recordStoreRead(now: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, now);
  }

  /**
   * Applies a report of another host.
   *
   * @param current The highest revision of a change in the replica.
   * @returns Whether the report lowered the age.
   */
  acceptReport(report: FreshnessReport, current: number): boolean {
    if (report.latestRevision > current) {
      const isNewer =
        report.latestRevision >= (this.ahead?.latestRevision ?? 0);
      if (isNewer) this.ahead = report;
      return false;
    }
    if (report.at <= this.confirmedAt) return false;
    this.confirmedAt = report.at;
    return true;
  }

  /** Records that the replica now contains all changes up to a revision. */
  recordRevision(current: number): void {
    if (this.ahead === undefined || this.ahead.latestRevision > current) return;
    this.confirmedAt = Math.max(this.confirmedAt, this.ahead.at);
    this.ahead = undefined;
  }
}
