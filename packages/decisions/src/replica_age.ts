/**
 * How long ago a copy of a table was certainly the newest: by an answer of the
 * store to this host, or by another host's word for the changes that the copy
 * holds. A word for more than it holds counts once the copy has caught up.
 */

/** What a host that read the store says of a table. */
export interface FreshnessReport {
  /** The highest revision of a change that there was. */
  readonly latestRevision: number;
  /** When that was so, in ms on the clock of whoever takes the word. */
  readonly at: number;
}

/** The age of a copy. */
export class ReplicaAge {
  private certainAt = -Infinity;
  /** A word for changes that the copy lacks. */
  private ahead: FreshnessReport | undefined;

  /** Gives the age, in ms; Infinity when nobody has vouched for the copy. */
  getAgeMs(now: number): number {
    return now - this.certainAt;
  }

  /** Takes it that the store itself showed the copy to be the newest. */
  recordStoreRead(now: number): void {
    this.certainAt = Math.max(this.certainAt, now);
  }

  /**
   * Takes a word.
   *
   * @param held The highest revision of a change that the copy holds.
   * @returns Whether the word made the copy younger.
   */
  acceptReport(word: FreshnessReport, held: number): boolean {
    if (word.latestRevision > held) {
      const isNewer = word.latestRevision >= (this.ahead?.latestRevision ?? 0);
      if (isNewer) this.ahead = word;
      return false;
    }
    if (word.at <= this.certainAt) return false;
    this.certainAt = word.at;
    return true;
  }

  /** Takes it that the copy holds changes up to a revision now. */
  recordRevision(held: number): void {
    if (this.ahead === undefined || this.ahead.latestRevision > held) return;
    this.certainAt = Math.max(this.certainAt, this.ahead.at);
    this.ahead = undefined;
  }
}
