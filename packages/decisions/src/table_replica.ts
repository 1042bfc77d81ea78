/**
 * A replica of a watched table. Rows come from the store or from other hosts,
 * in any order and more than once. A row is applied only if its revision is
 * higher than the known one, so the replica never goes back. Deleted rows are
 * kept as tombstones for a while, as another source may still send the old row.
 */

import {getSettledRevision, getEra} from './store_revision.js';

/** A row; without a value, it was deleted at that revision. */
export interface ReplicaRow {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** The most tombstones to keep; beyond this, the oldest half is dropped. */
const MAX_DELETED = 1000;

/** A replica of a table. */
export class TableReplica {
  private readonly rows = new Map<string, ReplicaRow>();
  private deletedCount = 0;
  private known = 0;
  private newestRow = 0;
  /** Tombstones up to this revision may have been dropped. */
  private forgottenUpTo = 0;
  private loaded = false;

  /** The revision up to which the replica is complete. */
  get revision(): number {
    return this.known;
  }

  /**
   * The highest revision of a change, deletions included, up to which the
   * replica is complete.
   */
  get lastChange(): number {
    return this.newestRow;
  }

  /** Whether the table was ever read in full. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /**
   * Applies consecutive changes; returns those that changed a value.
   *
   * @param revision The replica is complete up to this revision afterwards.
   */
  applyChanges(changes: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const applied: ReplicaRow[] = [];
    this.known = Math.max(this.known, revision);
    for (const change of changes) {
      // Later pages of a full read contain changes beyond its revision, but may
      // lack others before these, so the replica isn't complete up to them.
      if (Math.floor(change.revision) <= this.known) {
        this.newestRow = Math.max(this.newestRow, change.revision);
      }
      if (this.take(change)) applied.push(change);
    }
    this.dropDeleted();
    return applied;
  }

  /**
   * Applies a full read as of a revision; known rows that it lacks were
   * deleted. A read older than the replica is ignored.
   */
  applyAll(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    if (this.loaded && revision < this.known) return [];
    const deletions = this.listMissing(rows, revision).map((row) => {
      return {...row, value: undefined, revision};
    });
    // There are no tombstones for rows deleted before the first read.
    if (!this.loaded) this.forgottenUpTo = revision;
    this.loaded = true;
    return this.applyChanges([...rows, ...deletions], revision);
  }

  /**
   * Applies a full read of a restored store whose writers had time to write
   * again: missing rows are deleted, and deleted rows that the store has are
   * restored. Changes after the read may have been applied already and are
   * kept.
   */
  applySettled(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const settledAt = getSettledRevision(Math.max(revision, this.known));
    const deletions = this.listMissing(rows, revision).map((row) => {
      return {...row, value: undefined, revision: settledAt};
    });
    const present = rows.map((row) => {
      const known = this.rows.get(row.key);
      const isBack =
        known !== undefined &&
        known.value === undefined &&
        known.revision <= revision;
      return isBack ? {...row, revision: settledAt} : row;
    });
    return this.applyChanges([...present, ...deletions], revision);
  }

  /**
   * Applies the first full read of a restored store. Missing rows are kept and
   * deleted rows stay deleted, as their writers may not have written again yet;
   * `applySettled` resolves them later.
   */
  applyRestored(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const taken = rows.filter(({key}) => {
      const known = this.rows.get(key);
      return known === undefined || known.value !== undefined;
    });
    // Replicas of an older era fetch the full table.
    this.forgottenUpTo = Math.max(this.forgottenUpTo, revision);
    return this.applyChanges(taken, revision);
  }

  /** Tells whether a row exists in the current era of the store. */
  isInCurrentEra(key: string): boolean {
    const row = this.rows.get(key);
    if (row?.value === undefined) return false;
    return getEra(row.revision) === getEra(this.known);
  }

  /**
   * Lists the rows that changed after a revision, tombstones included;
   * undefined if some of them may have been dropped.
   */
  listAfter(revision: number): ReplicaRow[] | undefined {
    if (!this.loaded || revision < this.forgottenUpTo) return undefined;
    return [...this.rows.values()].filter((row) => row.revision > revision);
  }

  /** Whether a revision is the first one seen after a restore of the store. */
  isFirstOfEra(revision: number): boolean {
    return this.loaded && getEra(revision) > getEra(this.known);
  }

  /** Finds a row or its tombstone. */
  find(key: string): ReplicaRow | undefined {
    return this.rows.get(key);
  }

  /** Lists the existing rows. */
  listAll(): ReplicaRow[] {
    return [...this.rows.values()].filter((row) => row.value !== undefined);
  }

  /** Lists the existing rows that a full read as of a revision lacks. */
  listMissing(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const present = new Set(rows.map(({key}) => key));
    return this.listAll().filter(
      (row) => !present.has(row.key) && row.revision <= revision,
    );
  }

  private take(change: ReplicaRow): boolean {
    const before = this.rows.get(change.key);
    if (before !== undefined && before.revision >= change.revision) {
      return false;
    }
    if (before?.value === undefined && before !== undefined) {
      this.deletedCount--;
    }
    if (change.value === undefined) this.deletedCount++;
    // Reinserted last, so that rows are in the order of their changes.
    this.rows.delete(change.key);
    this.rows.set(change.key, change);
    return before?.value !== change.value;
  }

  private dropDeleted(): void {
    if (this.deletedCount <= MAX_DELETED) return;
    for (const row of this.rows.values()) {
      if (row.value !== undefined) continue;
      this.rows.delete(row.key);
      this.deletedCount--;
      this.forgottenUpTo = Math.max(this.forgottenUpTo, row.revision);
      if (this.deletedCount <= MAX_DELETED / 2) return;
    }
  }
}
