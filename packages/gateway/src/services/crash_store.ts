/**
 * Keeps crashes in the store, so that they last when all hosts are lost, and
 * reach hosts that start later. What could not be written is tried again until
 * the store takes it.
 */
import type {Crash} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {formatCrashKey, formatCrashValue} from '../model/crash_row.js';
import type {RowChange, TableStore} from '../model/table_store.js';

/** The least time between two calls of one host, in ms; bounds their rate. */
const PAUSE_MS = 100;
/** The time after a failed call, in ms. */
const RETRY_MS = 300;
/** Rows in one call; the store takes a hundred. */
const MAX_ROWS = 50;
/** Rows that wait while the store is away; the oldest give way. */
const MAX_WAITING = 1000;

/** What keeping crashes needs of the rest. */
export interface CrashStoreParts {
  readonly host: string;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the store is known to have a row. */
  readonly hasRow: (key: string) => boolean;
  /** Lists the keys of the rows of a content that the store has. */
  readonly listKeys: (content: string) => readonly string[];
}

/** Writes and deletes rows. */
export class CrashStore {
  /** Values by key; undefined for a row that is to be deleted. */
  private readonly waiting = new Map<string, string | undefined>();
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;

  constructor(private readonly parts: CrashStoreParts) {}

  /** Writes the rows of crashes that the store lacks. */
  saveCrashes(crashes: readonly Crash[]): void {
    const {host, clock, hasRow} = this.parts;
    const note = formatCrashValue({host, at: clock.getWallNow()});
    for (const crash of crashes) {
      const key = formatCrashKey(crash);
      if (this.waiting.get(key) === undefined && !hasRow(key)) {
        this.put(key, note);
      }
    }
    this.start();
  }

  /** Deletes the rows of a content. */
  deleteCrashes(content: string): void {
    const prefix = `${content}/`;
    for (const key of [...this.waiting.keys()]) {
      if (key.startsWith(prefix)) this.waiting.delete(key);
    }
    for (const key of this.parts.listKeys(content)) this.put(key, undefined);
    this.start();
  }

  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
  }

  private put(key: string, value: string | undefined): void {
    this.waiting.set(key, value);
    if (this.waiting.size <= MAX_WAITING) return;
    const [oldest = ''] = this.waiting.keys();
    this.waiting.delete(oldest);
    this.parts.log.writeWarning('A crash is not kept: too many wait.', {
      key: oldest,
    });
  }

  private start(): void {
    if (this.waiting.size === 0) return;
    this.running ??= this.run().finally(() => {
      this.running = undefined;
      // What came after the last look at what waits.
      if (!this.controller.signal.aborted) this.start();
    });
  }

  private async run(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.controller;
    while (this.waiting.size > 0 && !signal.aborted) {
      const pauseMs = await this.writeSome();
      await clock.wait(pauseMs, signal);
    }
  }

  /** Makes one call; gives the least time to the next. */
  private async writeSome(): Promise<number> {
    const changes: RowChange[] = [];
    for (const [key, value] of this.waiting) {
      if (changes.length === MAX_ROWS) break;
      changes.push({key, value});
    }
    const result = await this.parts.store.writeAll('crashes', changes);
    if (result.isErr()) {
      const {kind} = result.error;
      const {size: waiting} = this.waiting;
      this.parts.log.writeWarning('Crashes could not be kept yet.', {
        kind,
        waiting,
      });
      return RETRY_MS;
    }
    for (const {key, value} of changes) {
      // It may have changed while the call was under way.
      if (this.waiting.get(key) === value) this.waiting.delete(key);
    }
    return PAUSE_MS;
  }
}
