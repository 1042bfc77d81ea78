/**
 * Writes crashes to the store, so that they survive the loss of all hosts and
 * reach hosts that start later. Failed writes are retried until they succeed.
 */
import type {Crash} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {formatCrashKey, formatCrashValue} from '../model/crash_row.js';
import type {TableStore} from '../model/table_store.js';
import {RowWriter} from './row_writer.js';

/** The retry delay after a failed call, in ms. */
const RETRY_MS = 300;

/** Dependencies of the crash store. */
export interface CrashStoreParts {
  readonly host: string;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the store is known to have a row. */
  readonly hasRow: (key: string) => boolean;
  /** Lists the keys of a content's rows in the store. */
  readonly listKeys: (content: string) => readonly string[];
}

/** Writes and deletes the rows of crashes. */
export class CrashStore {
  private readonly writer: RowWriter;

  constructor(private readonly parts: CrashStoreParts) {
    this.writer = new RowWriter({
      ...parts,
      table: 'crashes',
      retryMs: RETRY_MS,
    });
  }

  /** Writes the rows of crashes that the store lacks. */
  saveCrashes(crashes: readonly Crash[]): void {
    const {host, clock, hasRow} = this.parts;
    const note = formatCrashValue({host, at: clock.getWallNow()});
    for (const crash of crashes) {
      const key = formatCrashKey(crash);
      if (!this.writer.hasValue(key) && !hasRow(key)) {
        this.writer.put(key, note);
      }
    }
    this.writer.start();
  }

  /** Deletes the rows of a content. */
  deleteCrashes(content: string): void {
    const prefix = `${content}/`;
    for (const key of this.writer.listKeys()) {
      if (key.startsWith(prefix)) this.writer.cancel(key);
    }
    for (const key of this.parts.listKeys(content)) {
      this.writer.put(key, undefined);
    }
    this.writer.start();
  }

  async stop(): Promise<void> {
    await this.writer.stop();
  }
}
