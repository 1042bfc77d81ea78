/**
 * Finds out whether an earlier release, which kept no history of software
 * versions, may have served before the first row of the history. Its hosts
 * leave rows in other tables, which are read once.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {EARLIER_TABLES, isEarlierRow} from '../model/release_mark.js';
import type {TableStore} from '../model/table_store.js';

/** The retry delay after a failed read, in ms. */
const RETRY_MS = 2000;

/** Dependencies of the search. */
export interface EarlierReleaseParts {
  readonly store: Pick<TableStore, 'readAll'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Searches the store for rows of an earlier release. */
export class EarlierRelease {
  private hasRows: boolean | undefined;
  private isReading = false;
  private readAt = -Infinity;

  constructor(private readonly parts: EarlierReleaseParts) {}

  /**
   * Whether an earlier release left rows; undefined until the tables are read,
   * which the first call starts.
   */
  find(): boolean | undefined {
    const now = this.parts.clock.getNow();
    const isDue = !this.isReading && now - this.readAt >= RETRY_MS;
    if (this.hasRows === undefined && isDue) void this.read(now);
    return this.hasRows;
  }

  private async read(now: number): Promise<void> {
    this.isReading = true;
    this.readAt = now;
    this.hasRows = await this.readTables();
    this.isReading = false;
  }

  /** Reads the tables; undefined if none has such rows and a read failed. */
  private async readTables(): Promise<boolean | undefined> {
    const {store, log} = this.parts;
    const reads = EARLIER_TABLES.map(async (table) => {
      const result = await store.readAll(table);
      return {table, result};
    });
    let isWhole = true;
    for (const {table, result} of await Promise.all(reads)) {
      if (result.isErr()) {
        const {kind} = result.error;
        log.writeInfo('Failed to read rows of earlier releases.', {
          table,
          kind,
        });
        isWhole = false;
        continue;
      }
      const {rows} = result.value;
      const row = rows.find((one) => isEarlierRow(table, one));
      if (row === undefined) continue;
      log.writeInfo('Found a row of an earlier release.', {
        table,
        row: row.key,
      });
      return true;
    }
    return isWhole ? false : undefined;
  }
}
