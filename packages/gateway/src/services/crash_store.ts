/**
 * Writes crashes to the store, so that they survive the loss of all hosts and
 * reach hosts that start later. Failed writes are retried until they succeed.
 */
import type {Crash} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {formatCrashKey, formatCrashValue} from '../model/crash_row.js';
import type {RowChange, TableStore} from '../model/table_store.js';

/** The minimum time between two calls of one host to the store, in ms. */
const MIN_CALL_INTERVAL_MS = 100;
/** The retry delay after a failed call, in ms. */
const RETRY_MS = 300;
/** The maximum number of rows in one call; the store accepts 100. */
const MAX_ROWS = 50;
/** The maximum number of rows that wait; the oldest are evicted. */
const MAX_PENDING = 1000;

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
  /** Values to write by key; undefined for a row to delete. */
  private readonly pending = new Map<string, string | undefined>();
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;

  constructor(private readonly parts: CrashStoreParts) {}

  /** Writes the rows of crashes that the store lacks. */
  saveCrashes(crashes: readonly Crash[]): void {
    const {host, clock, hasRow} = this.parts;
    const note = formatCrashValue({host, at: clock.getWallNow()});
    for (const crash of crashes) {
      const key = formatCrashKey(crash);
      if (this.pending.get(key) === undefined && !hasRow(key)) {
        this.put(key, note);
      }
    }
    this.start();
  }

  /** Deletes the rows of a content. */
  deleteCrashes(content: string): void {
    const prefix = `${content}/`;
    for (const key of [...this.pending.keys()]) {
      if (key.startsWith(prefix)) this.pending.delete(key);
    }
    for (const key of this.parts.listKeys(content)) this.put(key, undefined);
    this.start();
  }

  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  private put(key: string, value: string | undefined): void {
    this.pending.set(key, value);
    if (this.pending.size <= MAX_PENDING) return;
    const [oldest = ''] = this.pending.keys();
    this.pending.delete(oldest);
    this.parts.log.writeWarning('Dropped a crash: too many wait to be saved.', {
      key: oldest,
    });
  }

  private start(): void {
    if (this.pending.size === 0) return;
    this.running ??= this.run().finally(() => {
      this.running = undefined;
      // Rows may have been added after the loop had ended.
      if (!this.controller.signal.aborted) this.start();
    });
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
    const changes: RowChange[] = [];
    for (const [key, value] of this.pending) {
      if (changes.length === MAX_ROWS) break;
      changes.push({key, value});
    }
    const result = await this.parts.store.writeAll('crashes', changes);
    if (result.isErr()) {
      const {kind} = result.error;
      const {size: waiting} = this.pending;
      this.parts.log.writeWarning('Failed to save crashes; retrying.', {
        kind,
        waiting,
      });
      return RETRY_MS;
    }
    for (const {key, value} of changes) {
      // The value may have changed while the call was under way.
      if (this.pending.get(key) === value) this.pending.delete(key);
    }
    return MIN_CALL_INTERVAL_MS;
  }
}
