/**
 * Writes the origins of streams that this host began to the store: at once if
 * no call was made for a while, and else at a bounded rate. Nobody waits for a
 * write. Failed writes are retried with a growing delay.
 */
import type {OriginRecord} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {TableStore} from '../model/table_store.js';
import {OriginSegments} from './origin_segments.js';

/** The delay after the first failed call, and the longest one, in ms. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 5000;
/**
 * How long expired rows wait for a write that deletes them as well, in ms. At
 * the end of a release, a host makes one call a minute for those that are left.
 */
const CLEANUP_DELAY_MS = 60_000;
const MS_PER_SECOND = 1000;

/** Dependencies of the writer. */
export interface OriginWriterParts {
  readonly host: string;
  readonly incarnation: number;
  readonly store: Pick<TableStore, 'writeAll'>;
  readonly clock: Pick<Clock, 'getNow' | 'getWallNow' | 'wait'>;
  readonly log: Logger;
  /** Computes the minimum time between two calls, in ms. */
  readonly getIntervalMs: () => number;
  /** Counts a call. */
  readonly recordCall: (isOk: boolean) => void;
}

/** Writes the origins of one host. */
export class OriginWriter {
  private readonly segments: OriginSegments;
  private readonly controller = new AbortController();
  private running: Promise<void> | undefined;
  private nextCallAt = -Infinity;
  private retryMs = MIN_RETRY_MS;

  constructor(private readonly parts: OriginWriterParts) {
    const {host, incarnation} = parts;
    this.segments = new OriginSegments(host, incarnation);
  }

  /** The number of streams that are not known to be in the store. */
  get unsaved(): number {
    return this.segments.unsaved;
  }

  /** Makes some streams be written. */
  saveAll(records: Iterable<OriginRecord>): void {
    const {clock} = this.parts;
    const [now, wallNow] = [clock.getNow(), clock.getWallNow()];
    for (const {remainingMs, ...record} of records) {
      const until = Math.ceil(wallNow + remainingMs) / MS_PER_SECOND;
      this.segments.add({...record, until}, now, now + remainingMs);
    }
    if (this.segments.unsaved > 0) this.start();
  }

  /** Writes all rows again, as the store may have lost them. */
  saveAgain(): void {
    this.segments.markUnsaved();
    if (this.segments.unsaved > 0) this.start();
  }

  /** Deletes rows that no write has deleted since they expired. */
  deleteExpired(): void {
    const expiredBy = this.parts.clock.getNow() - CLEANUP_DELAY_MS;
    if (this.segments.hasExpired(expiredBy)) this.start();
  }

  /** Ends the writes after a last one, which is not retried. */
  async stop(): Promise<void> {
    this.controller.abort();
    await this.running;
    if (this.segments.unsaved > 0) await this.writeBatch();
  }

  private start(): void {
    if (this.controller.signal.aborted) return;
    this.running ??= this.run().finally(() => {
      this.running = undefined;
      // Streams may have been added after the loop had ended.
      if (this.segments.unsaved > 0) this.start();
    });
  }

  private async run(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.controller;
    for (;;) {
      const waitMs = this.nextCallAt - clock.getNow();
      if (waitMs > 0) await clock.wait(waitMs, signal);
      if (signal.aborted || !(await this.writeBatch())) return;
    }
  }

  /** Makes one call; returns false if there was nothing to write. */
  private async writeBatch(): Promise<boolean> {
    const {store, clock, log, getIntervalMs, recordCall} = this.parts;
    const batch = this.segments.takeBatch(clock.getNow());
    if (batch === undefined) return false;
    const startedAt = clock.getNow();
    this.nextCallAt = startedAt + getIntervalMs();
    const result = await store.writeAll('origins', batch.changes);
    recordCall(result.isOk());
    if (result.isOk()) {
      batch.finish();
      this.retryMs = MIN_RETRY_MS;
      return true;
    }
    batch.fail();
    const retryAt = clock.getNow() + this.retryMs;
    this.nextCallAt = Math.max(this.nextCallAt, retryAt);
    this.retryMs = Math.min(this.retryMs * 2, MAX_RETRY_MS);
    const {kind} = result.error;
    const {unsaved} = this.segments;
    log.writeWarning('Failed to save origins of streams; retrying.', {
      kind,
      rows: batch.changes.length,
      unsaved,
    });
    return true;
  }
}
