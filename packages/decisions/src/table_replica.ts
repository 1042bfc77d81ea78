/**
 * A copy of a watched table. Rows come from the store or from other hosts, in
 * any order and more than once; a row is taken only when its revision is
 * higher than that of the known one, so that nothing goes back. Deleted rows
 * are remembered for a while, as another source may still give the old row.
 */

import {getSettledRevision, getEra} from './store_revision.js';

/** A row; without a value it was deleted at that revision. */
export interface ReplicaRow {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** How many deleted rows are remembered. */
const MAX_DELETED = 1000;

/** A copy of a table. */
export class TableReplica {
  private readonly rows = new Map<string, ReplicaRow>();
  private deletedCount = 0;
  private known = 0;
  private newestRow = 0;
  /** Changes up to this revision may have been forgotten. */
  private forgottenUpTo = 0;
  private loaded = false;

  /** The newest revision up to which the copy is whole. */
  get revision(): number {
    return this.known;
  }

  /**
   * The highest revision of a change up to which the copy is whole; rows that
   * were deleted count.
   */
  get lastChange(): number {
    return this.newestRow;
  }

  /** Whether the table was ever read whole. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Takes changes that follow each other; gives those that are news. */
  applyChanges(changes: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const news: ReplicaRow[] = [];
    this.known = Math.max(this.known, revision);
    for (const change of changes) {
      // Later pages of a whole read hold changes beyond its revision, and may
      // lack others before them: up to those the copy is not whole yet.
      if (Math.floor(change.revision) <= this.known) {
        this.newestRow = Math.max(this.newestRow, change.revision);
      }
      if (this.take(change)) news.push(change);
    }
    this.dropDeleted();
    return news;
  }

  /**
   * Takes the whole table as of a revision; known rows that it lacks were
   * deleted. A table older than the copy is not taken.
   */
  applyAll(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    if (this.loaded && revision < this.known) return [];
    const deletions = this.listMissing(rows, revision).map((row) => {
      return {...row, value: undefined, revision};
    });
    // Rows deleted before the first read are unknown.
    if (!this.loaded) this.forgottenUpTo = revision;
    this.loaded = true;
    return this.applyChanges([...rows, ...deletions], revision);
  }

  /**
   * Applies a whole read after the writers of a restored store had time to write
   * again: missing rows are deleted, rows present in the store come back. Changes
   * after the read may have been applied already and are kept.
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
   * Applies the first whole read of a restored store. Missing rows are kept and
   * deleted rows stay deleted, as their writers may not have written again yet;
   * `applySettled` decides on them.
   */
  applyRestored(rows: readonly ReplicaRow[], revision: number): ReplicaRow[] {
    const taken = rows.filter(({key}) => {
      const known = this.rows.get(key);
      return known === undefined || known.value !== undefined;
    });
    // Copies of an older era get the whole table.
    this.forgottenUpTo = Math.max(this.forgottenUpTo, revision);
    return this.applyChanges(taken, revision);
  }

  /** Whether a row exists in the current era of the store. */
  isInCurrentEra(key: string): boolean {
    const row = this.rows.get(key);
    if (row?.value === undefined) return false;
    return getEra(row.revision) === getEra(this.known);
  }

  /**
   * Lists the rows that changed after a revision, deleted ones included;
   * undefined when they are not known any more.
   */
  listAfter(revision: number): ReplicaRow[] | undefined {
    if (!this.loaded || revision < this.forgottenUpTo) return undefined;
    return [...this.rows.values()].filter((row) => row.revision > revision);
  }

  /** Finds a row; a deleted one has no value. */
  find(key: string): ReplicaRow | undefined {
    return this.rows.get(key);
  }

  /** Lists the rows that there are. */
  listAll(): ReplicaRow[] {
    return [...this.rows.values()].filter((row) => row.value !== undefined);
  }

  /** Lists the rows that a whole read as of a revision lacks. */
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
    // Taken out first, so that the rows stand in the order of their changes.
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
