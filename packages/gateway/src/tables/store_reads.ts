/**
 * Reads one table of the store with a time limit, and tracks whether the store
 * answers in time. A read goes on after its time limit, for as long as the store
 * may take when it is overloaded: it would never be read if each answer that is
 * late were dropped and the same read sent again. Reads are repeated at the same
 * pace as without this, so the store gets no more calls, and a store that answers
 * again after it was silent is noticed as soon.
 */
import {StoreReachability} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import {err, type Result} from 'neverthrow';
import type {
  StoreError,
  StoreErrorKind,
  TableName,
  TableRows,
  TableStore,
} from '../model/table_store.js';
import type {DatedRows, TableConfirmations} from './table_confirmations.js';
import type {TableLog} from './table_log.js';

/** How long a failed call counts as recent, in ms. */
const RECENT_FAILURE_MS = 2500;
/**
 * How long a read goes on after its time limit, in time limits of the store: 2 s
 * in total at the default of 500 ms.
 */
const EXTRA_TIMEOUTS = 3;

/** An answer that came after the time limit of its read. */
export interface LateAnswer {
  readonly result: Result<DatedRows, StoreError>;
  /** The revision after which changes were read; undefined for a whole table. */
  readonly after: number | undefined;
  /** When the read began. */
  readonly startedAt: number;
}

/** Dependencies of the reads. */
export interface StoreReadsParts {
  readonly table: TableName;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly log: TableLog;
  readonly confirmations: TableConfirmations;
  /** Aborted when answers are ignored from now on. */
  readonly signal: AbortSignal;
  readonly handleLate: (late: LateAnswer) => void;
}

/** The result of a read; an error says why it failed. */
export type ReadResult = Result<DatedRows, StoreErrorKind>;

/** The reads of one table. */
export class StoreReads {
  readonly reachability = new StoreReachability();
  private failedAt = -Infinity;

  constructor(private readonly parts: StoreReadsParts) {}

  /** Whether the last recorded call failed, and did so recently. */
  hasFailedRecently(now: number): boolean {
    return this.reachability.isAway && now - this.failedAt < RECENT_FAILURE_MS;
  }

  /** Records a call that failed. */
  recordFailure(kind: StoreErrorKind, now: number): void {
    if (!this.reachability.isAway) this.parts.log.writeUnavailable(kind);
    this.reachability.recordFailure(now);
    this.failedAt = now;
  }

  /** Records a call that the store answered in time. */
  recordSuccess(now: number): void {
    if (this.reachability.isAway) this.parts.log.writeAvailable();
    this.reachability.recordSuccess(now);
  }

  /** Reads the whole table. */
  readAll(): Promise<ReadResult> {
    const {store, table} = this.parts;
    return this.read(undefined, 0, (extraMs) => store.readAll(table, extraMs));
  }

  /** Reads the whole table; the time limit includes the time of late answers. */
  readAllUnhurried(): Promise<Result<DatedRows, StoreError>> {
    const {store, table} = this.parts;
    const extraMs = EXTRA_TIMEOUTS * (store.timeoutMs ?? 0);
    return this.sendDated(() => store.readAll(table, extraMs));
  }

  /** Reads the changes after a revision, for which the store may wait. */
  readChanges(after: number, waitMs: number): Promise<ReadResult> {
    const {store, table} = this.parts;
    return this.read(after, waitMs, (extraMs) =>
      store.readChanges(table, after, waitMs, extraMs),
    );
  }

  private async read(
    after: number | undefined,
    waitMs: number,
    send: (extraMs: number) => Promise<Result<TableRows, StoreError>>,
  ): Promise<ReadResult> {
    const {store, clock, log, signal, handleLate} = this.parts;
    const {timeoutMs} = store;
    if (timeoutMs === undefined) {
      return toResult(await this.sendDated(() => send(0)));
    }
    const startedAt = clock.getNow();
    const extraMs = EXTRA_TIMEOUTS * timeoutMs;
    const answer = this.sendDated(() => send(extraMs));
    const timer = new AbortController();
    const limit = clock.wait(waitMs + timeoutMs, timer.signal);
    const first = await Promise.race([answer, limit]);
    timer.abort();
    if (first !== undefined) return toResult(first);
    void answer.then((result) => {
      if (signal.aborted) return;
      if (result.isOk()) log.writeLateAnswer(clock.getNow() - startedAt);
      handleLate({result, after, startedAt});
    });
    return err('store_silent');
  }

  /** Makes a call and records the clocks in its answer. */
  private async sendDated(
    send: () => Promise<Result<TableRows, StoreError>>,
  ): Promise<Result<DatedRows, StoreError>> {
    const {clock, confirmations} = this.parts;
    const begunAt = clock.getNow();
    const answer = await send();
    return answer.map((rows) => confirmations.recordAnswer(rows, begunAt));
  }
}

function toResult(result: Result<DatedRows, StoreError>): ReadResult {
  return result.mapErr(({kind}) => kind);
}
