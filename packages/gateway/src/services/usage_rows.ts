/**
 * The rows of final windows that are known to be in the store, and which of
 * them are old enough to be deleted.
 */
import {computeWindowEnd, WINDOW_ROW_RETENTION_MS} from '@irisdock/decisions';
import type {RowChange} from '../model/table_store.js';
import {formatWindowKey, formatWindowPartKey} from '../model/usage_state.js';

/** The maximum number of windows whose rows are deleted with one write. */
const MAX_DELETED_WINDOWS = 20;

/** The rows of final windows. */
export class UsageRows {
  /** How many rows each window has. */
  private readonly counts = new Map<number, number>();

  /** Adds a window with so many rows. */
  add(window: number, rows: number): void {
    this.counts.set(window, rows);
  }

  /** Takes out windows whose rows were deleted. */
  removeAll(windows: readonly number[]): void {
    for (const window of windows) this.counts.delete(window);
  }

  /**
   * Lists windows whose rows may be deleted.
   *
   * @param now In ms since 1970.
   * @param maxRows The number of rows that they may have together.
   */
  listExpired(now: number, windowMs: number, maxRows: number): number[] {
    const oldest = now - WINDOW_ROW_RETENTION_MS;
    const expired: number[] = [];
    let rowsLeft = maxRows;
    for (const [window, rows] of this.counts) {
      if (expired.length === MAX_DELETED_WINDOWS) break;
      if (computeWindowEnd(window, windowMs) >= oldest) continue;
      rowsLeft -= rows;
      if (rowsLeft < 0) break;
      expired.push(window);
    }
    return expired;
  }

  /** Lists the changes that delete the rows of a window. */
  listDeletions(window: number): RowChange[] {
    const value = undefined;
    const changes: RowChange[] = [{key: formatWindowKey(window), value}];
    const parts = (this.counts.get(window) ?? 1) - 1;
    for (let index = 0; index < parts; index++) {
      changes.push({key: formatWindowPartKey(window, index), value});
    }
    return changes;
  }
}
