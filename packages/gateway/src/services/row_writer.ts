/**
 * Writes rows of one table to the store, many in one call and one call at a
 * time. Failed calls are retried until they succeed.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {RowChange, TableName, TableStore} from '../model/table_store.js';

/** The minimum time between two calls of one host to the store, in ms. */
const MIN_CALL_INTERVAL_MS = 100;
/** The maximum number of rows in one call; the store accepts 100. */
const MAX_ROWS = 50;
/** The maximum number of rows that wait; the oldest are evicted. */
const MAX_PENDING = 1000;

/** Dependencies of the writer. */
export interface RowWriterParts {
  readonly table: TableName;
  readonly store: Pick<TableStore, 'writeAll'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** The retry delay after a failed call, in ms. */
  readonly retryMs: number;
}

/** Writes and deletes rows. */
export class RowWriter {
  /** Values to write by key; undefined for a row to delete. */
  private readonly pending = new Map<string, string | undefined>();
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;

  constructor(private readonly parts: RowWriterParts) {}

  /** Lists the keys of rows that wait to be written or deleted. */
  listKeys(): string[] {
    return [...this.pending.keys()];
  }

  /** Whether a row waits to be written. */
  hasValue(key: string): boolean {
    return this.pending.get(key) !== undefined;
  }

  /** Cancels a change that is not under way. */
  cancel(key: string): void {
    this.pending.delete(key);
  }

  /** Adds a row to write, or to delete if it has no value. */
  put(key: string, value: string | undefined): void {
    this.pending.set(key, value);
    if (this.pending.size <= MAX_PENDING) return;
    const [oldest = ''] = this.pending.keys();
    this.pending.delete(oldest);
    const {table, log} = this.parts;
    const fields = {table, key: oldest};
    log.writeWarning('Dropped a row: too many wait to be saved.', fields);
  }

  /** Starts to write what was added. */
  start(): void {
    if (this.pending.size === 0) return;
    this.running ??= this.run().finally(() => {
      this.running = undefined;
      // Rows may have been added after the loop had ended.
      if (!this.controller.signal.aborted) this.start();
    });
  }

  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.controller;
    while (this.pending.size > 0 && !signal.aborted) {
      const pauseMs = await this.writeBatch();
      await clock.wait(pauseMs, signal);
    }
  }

  /** Makes one call; returns the minimum delay before the next one, in ms. */
  private async writeBatch(): Promise<number> {
    const {table, store, log, retryMs} = this.parts;
    const changes: RowChange[] = [];
    for (const [key, value] of this.pending) {
      if (changes.length === MAX_ROWS) break;
      changes.push({key, value});
    }
    const result = await store.writeAll(table, changes);
    if (result.isErr()) {
      const {kind} = result.error;
      const {size: waiting} = this.pending;
      log.writeWarning('Failed to save rows; retrying.', {
        table,
        kind,
        waiting,
      });
      return retryMs;
    }
    for (const {key, value} of changes) {
      // The value may have changed while the call was under way.
      if (this.pending.get(key) === value) this.pending.delete(key);
    }
    return MIN_CALL_INTERVAL_MS;
  }
}
