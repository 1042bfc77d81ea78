/**
 * The lease of one task, as one process sees it: reads and writes its row in
 * the store, and guards calls to the platform's API. `LeaseState` decides; this
 * module makes the calls, one at a time. docs/design/singleton_tasks.md.
 */
import {
  getEra,
  type LeaseRow,
  type LeaseState,
  type LeaseTimings,
} from '@irisdock/decisions';
import {getErrorText, readClocks, type Clock} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {createLostError, parseLease} from '../model/lease_row.js';
import type {CallAuthority, CallOutcome} from '../model/platform_api.js';
import {RELEASE_MARK} from '../model/release_mark.js';
import type {
  RowCondition,
  TaskName,
  TaskStore,
} from '../model/singleton_task.js';
import type {RowChange, StoreError, TableRow} from '../model/table_store.js';

/** Dependencies of the lease of a task. */
export interface TaskLeaseParts {
  readonly task: TaskName;
  /** The name of this host, by which the platform knows the holder. */
  readonly host: string;
  readonly state: LeaseState;
  readonly store: TaskStore;
  readonly clock: Clock;
  /** The longest order is the timeout of a call to the platform's API. */
  readonly timings: Pick<LeaseTimings, 'leaseMs' | 'maxOrderMs'>;
}

/** A lease row as it stands in the store. */
interface StoredLease {
  readonly row: LeaseRow | undefined;
  readonly revision: number;
}

/** What is known of a lease for operators. */
export interface LeaseSummary {
  /** The holder's name and incarnation; undefined if none is known. */
  readonly holder: string | undefined;
  readonly fence: number;
  /** When the row was last read or written, by the monotonic clock. */
  readonly seenAt: number | undefined;
}

/** Reads and writes the lease row of a task. */
export class TaskLease {
  private readonly key: string;
  /** The row, as long as this process knows its revision for certain. */
  private stored: StoredLease | undefined;
  private seenEra = 0;
  private turn: Promise<unknown> = Promise.resolve();
  private isCalling = false;
  /** How often the task was given up. */
  private drops = 0;
  private writtenAt = -Infinity;
  private shown: LeaseSummary = {
    holder: undefined,
    fence: 0,
    seenAt: undefined,
  };

  constructor(private readonly parts: TaskLeaseParts) {
    this.key = `${parts.task}/lease`;
  }

  /** The fencing token while calls may be started; undefined otherwise. */
  get fence(): number | undefined {
    return this.parts.state.getFencingToken(readClocks(this.parts.clock));
  }

  /** The era of the store when the row was last seen. */
  get era(): number {
    return this.seenEra;
  }

  /** When the last confirmed write began, by the monotonic clock. */
  get confirmedAt(): number {
    return this.writtenAt;
  }

  /** Whether this process was the last holder, as far as it knows. */
  get isLastHolder(): boolean {
    return this.shown.holder === this.parts.state.self;
  }

  /** The lease row as this process last saw it. */
  get summary(): LeaseSummary {
    return this.shown;
  }

  /**
   * Reads the row and acquires the lease if that is due.
   *
   * @returns How long to wait before the next attempt, in ms; 0 if the lease is
   *     held now. Errors are those of the store.
   */
  tryAcquire(): Promise<Result<number, StoreError>> {
    return this.runInTurn(async () => {
      const read = await this.readRow();
      if (read.isErr()) return err(read.error);
      const now = readClocks(this.parts.clock);
      const step = this.parts.state.decide(read.value.row, now, this.era);
      if (step.step === 'wait') return ok(step.retryMs);
      const written = await this.writeRow(step.row, read.value, [], []);
      return written.map(() => 0);
    });
  }

  /** Renews a lease that is held, and writes rows of the task with it. */
  save(
    fence: number,
    changes: readonly RowChange[],
    conditions: readonly RowCondition[],
  ): Promise<Result<void, StoreError>> {
    return this.runInTurn(async () => {
      if (this.fence !== fence) return err(createLostError());
      const known = this.stored ? ok(this.stored) : await this.readRow();
      if (known.isErr()) return err(known.error);
      const now = readClocks(this.parts.clock);
      const step = this.parts.state.decide(known.value.row, now, this.era);
      if (step.step !== 'renew') return err(createLostError());
      return this.writeRow(step.row, known.value, changes, conditions);
    });
  }

  /** Reads rows of the task; keys are relative to the task. */
  async load(prefix: string): Promise<Result<readonly TableRow[], StoreError>> {
    const base = this.getStateKey('');
    const read = await this.parts.store.readTaskRows(base + prefix);
    return read.map((rows) =>
      rows.map((row) => ({...row, key: row.key.slice(base.length)})),
    );
  }

  /** Makes one call; one at a time. */
  async sendCall(
    fence: number,
    send: (authority: CallAuthority) => Promise<CallOutcome>,
  ): Promise<CallOutcome> {
    const {host, state, clock, timings} = this.parts;
    const {maxOrderMs: timeoutMs} = timings;
    if (this.isCalling) {
      return {kind: 'not-sent', detail: 'another call is in flight'};
    }
    if (this.fence !== fence) {
      return {kind: 'not-sent', detail: 'the lease is not held'};
    }
    const isValid = (): boolean => this.fence === fence;
    this.isCalling = true;
    state.recordOrderStart();
    const outcome = await tryCall(send, {host, fence, isValid, timeoutMs});
    state.recordOrderEnd(readClocks(clock), outcome.kind !== 'unanswered');
    this.isCalling = false;
    return outcome;
  }

  /**
   * Stops using the lease. The row stays as it is: a lease that was released
   * could be taken and given back within its duration.
   */
  drop(): void {
    this.parts.state.drop();
    this.drops++;
  }

  private async readRow(): Promise<Result<StoredLease, StoreError>> {
    this.stored = undefined;
    const rows = await this.parts.store.readTaskRows(this.key);
    if (rows.isErr()) return err(rows.error);
    const found = rows.value.find(({key}) => key === this.key);
    if (found?.value === undefined) {
      this.recordSeen(undefined);
      return ok({row: undefined, revision: 0});
    }
    const row = parseLease(found.value);
    if (row.isErr()) return err(row.error);
    this.seenEra = getEra(found.revision);
    this.recordSeen(row.value);
    return ok({row: row.value, revision: found.revision});
  }

  private async writeRow(
    decided: LeaseRow,
    {revision}: StoredLease,
    changes: readonly RowChange[],
    conditions: readonly RowCondition[],
  ): Promise<Result<void, StoreError>> {
    const {state, store, clock, timings} = this.parts;
    const row: LeaseRow = {...decided, leaseMs: timings.leaseMs};
    // Until the response is there, nobody knows whether the row was written.
    this.stored = undefined;
    const {drops} = this;
    const begun = readClocks(clock);
    const written = await store.commitTaskRows(
      [{key: this.key, revision}, ...this.listStored(conditions)],
      [
        {key: this.key, value: JSON.stringify({...row, ...RELEASE_MARK})},
        ...this.listStored(changes),
      ],
    );
    if (written.isErr()) return err(written.error);
    // The task was given up while the write was under way.
    if (drops !== this.drops) return err(createLostError());
    this.stored = {row, revision: written.value};
    this.seenEra = getEra(written.value);
    this.writtenAt = begun.nowMs;
    state.recordWrite(row, begun, this.era);
    this.recordSeen(row);
    return ok();
  }

  private listStored<T extends {readonly key: string}>(
    rows: readonly T[],
  ): T[] {
    return rows.map((row) => ({...row, key: this.getStateKey(row.key)}));
  }

  private getStateKey(key: string): string {
    return `${this.parts.task}/state/${key}`;
  }

  private recordSeen(row: LeaseRow | undefined): void {
    this.shown = {
      holder: row?.holder,
      fence: row?.fence ?? 0,
      seenAt: this.parts.clock.getNow(),
    };
  }

  /** Runs one piece of work after the ones before it. */
  private runInTurn<T>(work: () => Promise<T>): Promise<T> {
    const next = this.turn.then(work);
    this.turn = next.catch(() => undefined);
    return next;
  }
}

async function tryCall(
  send: (authority: CallAuthority) => Promise<CallOutcome>,
  authority: CallAuthority,
): Promise<CallOutcome> {
  try {
    return await send(authority);
  } catch (thrown) {
    // It may have been sent before the failure.
    return {kind: 'unanswered', detail: getErrorText(thrown)};
  }
}
