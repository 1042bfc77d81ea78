/**
 * Keeps in the store which hosts used more than a small part of a retry budget.
 * Only the process of a host counts its retries, so one that starts cannot tell
 * how many were used in the current window. It uses only as small a part itself
 * until it has read that no process which is gone used more, once with its first
 * request. Hosts write nothing while they need few retries.
 */
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {
  formatRetryUse,
  formatRetryUseKey,
  parseRetryUse,
  type RetryUseRow,
} from '../model/retry_use_row.js';
import type {TableRow, TableStore} from '../model/table_store.js';
import type {RetryUse} from '../serving/retry_budgets.js';
import {RowWriter} from './row_writer.js';

/** How long a request waits for the rows, in ms. */
const MAX_WAIT_MS = 300;
/** The delay after a failed call, in ms. */
const RETRY_MS = 1000;
/** Loans count for so long after they were made, in ms. */
const LOAN_MARGIN_MS = 1000;
/**
 * When hosts delete what others have left, in ms, at random, so that after a
 * loss of all hosts most find nothing.
 */
const MIN_CLEANUP_MS = 5000;
const CLEANUP_MS = 60_000;

/** A process of a host. */
type HostProcess = Pick<RetryUseRow, 'host' | 'incarnation'>;

/** Dependencies of the store of used retries. */
export interface RetryUseStoreParts {
  readonly identity: {readonly name: string; readonly incarnation: number};
  readonly store: Pick<TableStore, 'readAll' | 'writeAll'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Whether a process is known to be alive, this one included. */
  readonly isAlive: (process: HostProcess) => boolean;
  /** The window in which retries are counted, in ms. */
  readonly getWindowMs: () => number;
}

/** Saves and reads which budgets were used. */
export class RetryUseStore implements RetryUse {
  private readonly writer: RowWriter;
  private readonly startedAt: number;
  /** When this process last used much of a budget, in ms, by service. */
  private readonly usedAt = new Map<string, number>();
  /** Services whose retries lost hosts used; undefined until read. */
  private usedBefore: ReadonlySet<string | undefined> | undefined;
  private reading: Promise<void> | undefined;
  private failedAt = -Infinity;
  private readonly closing = new AbortController();

  constructor(private readonly parts: RetryUseStoreParts) {
    const table = 'retries';
    this.writer = new RowWriter({...parts, table, retryMs: RETRY_MS});
    this.startedAt = parts.clock.getNow();
  }

  isUncertain(service: string): boolean {
    const {clock, getWindowMs} = this.parts;
    if (clock.getNow() - this.startedAt >= getWindowMs()) return false;
    const {usedBefore} = this;
    if (usedBefore === undefined) return true;
    return usedBefore.has(service) || usedBefore.has(undefined);
  }

  startLoading(): void {
    if (this.usedBefore !== undefined) return;
    if (this.parts.clock.getNow() - this.failedAt < RETRY_MS) return;
    this.reading ??= this.read().finally(() => {
      this.reading = undefined;
    });
  }

  async load(): Promise<void> {
    this.startLoading();
    if (this.reading === undefined) return;
    await Promise.race([this.reading, this.parts.clock.wait(MAX_WAIT_MS)]);
  }

  save(service: string): void {
    const isSaved = this.usedAt.has(service);
    this.usedAt.set(service, this.parts.clock.getNow());
    if (isSaved) return;
    const row = this.createRow(service);
    this.writer.put(formatRetryUseKey(row), formatRetryUse(row));
    this.writer.start();
    void this.deleteLater(service);
  }

  stop(): void {
    this.closing.abort();
    void this.writer.stop();
  }

  private get isClosed(): boolean {
    return this.closing.signal.aborted;
  }

  private createRow(service: string): RetryUseRow {
    const {name: host, incarnation} = this.parts.identity;
    return {service, host, incarnation};
  }

  /** Deletes this process's row once its retries have left the window. */
  private async deleteLater(service: string): Promise<void> {
    const {clock, getWindowMs} = this.parts;
    const {signal} = this.closing;
    for (;;) {
      const usedAt = this.usedAt.get(service) ?? -Infinity;
      const endsAt = usedAt + getWindowMs() + LOAN_MARGIN_MS;
      const waitMs = endsAt - clock.getNow();
      if (waitMs <= 0) break;
      await clock.wait(waitMs, signal);
      if (this.isClosed) return;
    }
    this.usedAt.delete(service);
    this.writer.put(formatRetryUseKey(this.createRow(service)), undefined);
    this.writer.start();
  }

  private async read(): Promise<void> {
    const {store, clock, log} = this.parts;
    const result = await store.readAll('retries');
    if (result.isErr()) {
      this.failedAt = clock.getNow();
      const {kind} = result.error;
      log.writeWarning('Failed to read which retries were used.', {kind});
      return;
    }
    const rows = result.value.rows.filter((row) => this.isOfLost(row));
    const services = new Set(
      rows.map(({value = ''}) => parseRetryUse(value)?.service),
    );
    this.usedBefore = services;
    if (rows.length === 0) return;
    log.writeInfo('Lost hosts used retries; using few in the first window.', {
      services: [...services].join(),
      rows: rows.length,
    });
    void this.deleteLost(rows);
  }

  private isOfLost({value}: TableRow): boolean {
    if (value === undefined) return false;
    const use = parseRetryUse(value);
    return use === undefined || !this.parts.isAlive(use);
  }

  /**
   * Deletes rows of lost processes once their retries have left the window:
   * first those of this host, and later what others have left.
   */
  private async deleteLost(rows: readonly TableRow[]): Promise<void> {
    const {clock, random, getWindowMs, identity, store} = this.parts;
    const {signal} = this.closing;
    await clock.wait(getWindowMs() + LOAN_MARGIN_MS, signal);
    this.deleteAll(
      rows.filter(
        ({value = ''}) => parseRetryUse(value)?.host === identity.name,
      ),
    );
    await clock.wait(MIN_CLEANUP_MS + random.getInt(CLEANUP_MS), signal);
    if (this.isClosed) return;
    const result = await store.readAll('retries');
    if (result.isErr()) return;
    const keys = new Set(rows.map(({key}) => key));
    this.deleteAll(result.value.rows.filter(({key}) => keys.has(key)));
  }

  private deleteAll(rows: readonly TableRow[]): void {
    if (this.isClosed) return;
    for (const row of rows) {
      if (this.isOfLost(row)) this.writer.put(row.key, undefined);
    }
    this.writer.start();
  }
}
