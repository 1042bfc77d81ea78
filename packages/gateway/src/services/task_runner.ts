/**
 * Runs one singleton task: acquires and renews its lease, lets the task do its
 * steps while the lease is held, and gives the task up when the platform's API
 * does not answer this host. docs/design/singleton_tasks.md.
 */
import type {LeaseTimings} from '@irisdock/decisions';
import {Repeater, type Clock, type Logger} from '@irisdock/kernel';
import type {Result} from 'neverthrow';
import type {CallOutcome} from '../model/platform_api.js';
import type {SingletonTask} from '../model/singleton_task.js';
import type {StoreError, StoreErrorKind} from '../model/table_store.js';
import {LeaseTerm} from './lease_term.js';
import type {TaskExclusion} from './task_exclusion.js';
import type {TaskLease} from './task_lease.js';

/** The renewal interval and the pause after a failed write, as lease parts. */
const RENEWAL_DIVISOR = 3;
const RETRY_DIVISOR = 10;
/** The time between two looks at the lease while it is held, in ms. */
const LEASE_ROUND_MS = 50;
/** The time between two steps of a task, in ms. */
const STEP_INTERVAL_MS = 100;
/**
 * The time between two rounds of a host that does not hold the lease, in ms.
 * Nearly all hosts of a deployment never hold it, and each wake-up costs
 * processor time.
 */
const IDLE_ROUND_MS = 500;
/** How long calls may fail before the task is given up, in leases. */
const MAX_FAILING_LEASES = 2;
/** For how long a host that gave a task up is no candidate, in leases. */
const EXCLUSION_LEASES = 5;

/** Errors of a store that this host does not reach, or that refuses it. */
const FAILURES: ReadonlySet<StoreErrorKind> = new Set([
  'store_busy',
  'store_silent',
  'store_unavailable',
]);

/** Dependencies of the runner. */
export interface TaskRunnerParts {
  readonly task: SingletonTask;
  readonly lease: TaskLease;
  readonly timings: LeaseTimings;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether this host is among those that may acquire the lease. */
  readonly isCandidate: () => boolean;
  /** Whether this host was told to stop. */
  readonly isLeaving: () => boolean;
  readonly recordLoss: () => void;
  /** Whether this host's calls for tasks fail. */
  readonly exclusion: TaskExclusion;
  readonly recordCall: (outcome: CallOutcome) => void;
}

/** Holds the lease of a task and runs the task. */
export class TaskRunner {
  private term: LeaseTerm | undefined;
  private startedTerm: LeaseTerm | undefined;
  private isStopped = false;
  private pollAt = -Infinity;
  private renewAt = -Infinity;
  private excludedUntil = -Infinity;
  private failingSince: number | undefined;
  private readonly leaseRounds: Repeater;
  private readonly stepRounds: Repeater;

  constructor(private readonly parts: TaskRunnerParts) {
    const {clock, log} = parts;
    this.leaseRounds = new Repeater(
      (signal) => clock.wait(this.getPauseMs(LEASE_ROUND_MS), signal),
      () => this.runLeaseRound(),
      log,
    );
    this.stepRounds = new Repeater(
      (signal) => clock.wait(this.getPauseMs(STEP_INTERVAL_MS), signal),
      () => this.runStep(),
      log,
    );
  }

  /** Whether this host holds the task now. */
  get isHolder(): boolean {
    return this.term?.isHeld === true;
  }

  start(): void {
    const {clock, timings} = this.parts;
    // A host that has just started knows few others and takes itself for a
    // candidate: each of 91 hosts that started together read the lease.
    this.pollAt = clock.getNow() + timings.leaseMs;
    this.leaseRounds.start();
    this.stepRounds.start();
  }

  /** Stops using the lease; waits at most as long as a call may take. */
  async stop(): Promise<void> {
    const {lease, clock, timings} = this.parts;
    this.isStopped = true;
    lease.drop();
    this.checkTerm();
    const rounds = [this.leaseRounds.stop(), this.stepRounds.stop()];
    const timeout = new AbortController();
    await Promise.race([
      Promise.all(rounds),
      clock.wait(timings.maxOrderMs, timeout.signal),
    ]);
    timeout.abort();
    // A write that was under way may have been confirmed meanwhile.
    lease.drop();
  }

  private getPauseMs(heldMs: number): number {
    return this.isHolder ? heldMs : IDLE_ROUND_MS;
  }

  /** Whether this host may use a lease, or acquire one. */
  private get mayHold(): boolean {
    const {clock, isLeaving} = this.parts;
    if (this.isStopped || isLeaving()) return false;
    return clock.getNow() >= this.excludedUntil;
  }

  /** Takes one step with the lease. */
  private async runLeaseRound(): Promise<void> {
    const {lease, clock, isCandidate} = this.parts;
    if (!this.mayHold) lease.drop();
    this.checkTerm();
    if (this.term !== undefined) {
      await this.renew(this.term);
      this.checkTerm();
    }
    if (this.term !== undefined || !this.mayHold) return;
    // The last holder need not wait as the others do.
    const mayAcquire = isCandidate() || lease.isLastHolder;
    if (clock.getNow() < this.pollAt || !mayAcquire) return;
    await this.acquire();
    this.checkTerm();
  }

  private async acquire(): Promise<void> {
    const {lease, clock, timings, log, task} = this.parts;
    const {leaseMs} = timings;
    const result = await lease.tryAcquire();
    this.recordStoreCall(result);
    const retryMs = result.isOk() ? result.value : leaseMs / RENEWAL_DIVISOR;
    const pauseMs = Math.max(leaseMs / RETRY_DIVISOR, retryMs);
    this.pollAt = clock.getNow() + Math.min(leaseMs, pauseMs);
    if (result.isOk()) return;
    const {kind, message} = result.error;
    log.writeWarning('Failed to acquire the lease of a task; retrying.', {
      task: task.name,
      kind,
      message,
    });
  }

  private async renew(term: LeaseTerm): Promise<void> {
    const {lease, clock, timings, task, log} = this.parts;
    const {leaseMs} = timings;
    const dueAt = lease.confirmedAt + leaseMs / RENEWAL_DIVISOR;
    if (clock.getNow() < Math.max(dueAt, this.renewAt)) return;
    const result = await term.save(task.listRenewalChanges());
    this.recordStoreCall(result);
    this.renewAt = clock.getNow() + leaseMs / RETRY_DIVISOR;
    if (result.isOk()) return;
    const {kind} = result.error;
    log.writeWarning('Failed to renew the lease of a task; retrying.', {
      task: task.name,
      kind,
    });
  }

  private recordStoreCall(result: Result<unknown, StoreError>): void {
    const kind = result.isErr() ? result.error.kind : undefined;
    const isReached = kind === undefined || !FAILURES.has(kind);
    this.parts.exclusion.recordStoreCall(isReached);
  }

  /** Notes an acquisition or a loss of the lease. */
  private checkTerm(): void {
    const {lease, log, task, recordLoss} = this.parts;
    const {fence} = lease;
    if (this.term?.fence === fence) return;
    if (this.term !== undefined) {
      log.writeWarning('Lost the lease of a task.', {
        task: task.name,
        fence: this.term.fence,
      });
      this.term = undefined;
      recordLoss();
      task.stop();
    }
    if (fence === undefined) return;
    log.writeInfo('Acquired the lease of a task.', {task: task.name, fence});
    this.failingSince = undefined;
    this.term = new LeaseTerm(lease, fence, (term, outcome) => {
      this.handleOutcome(term, outcome);
    });
  }

  private async runStep(): Promise<void> {
    const {task} = this.parts;
    const {term} = this;
    if (term?.isHeld !== true) return;
    if (this.startedTerm !== term) {
      if (!(await task.start(term))) return;
      this.startedTerm = term;
    }
    // It may have been lost while the task started.
    if (this.term === term) await task.step(term);
  }

  private handleOutcome(term: LeaseTerm, outcome: CallOutcome): void {
    this.parts.recordCall(outcome);
    const isAnswered = !['unanswered', 'not-sent'].includes(outcome.kind);
    if (isAnswered) this.failingSince = undefined;
    else this.handleFailedCall(term, outcome);
  }

  private handleFailedCall(term: LeaseTerm, outcome: CallOutcome): void {
    const {clock, log, task, lease, timings, exclusion} = this.parts;
    const {fence} = term;
    const place = {task: task.name, fence};
    log.writeWarning('A call of a task got no answer.', {...place, ...outcome});
    if (!term.isHeld) return;
    const now = clock.getNow();
    this.failingSince ??= now;
    const {leaseMs} = timings;
    if (now - this.failingSince <= MAX_FAILING_LEASES * leaseMs) return;
    const excludedMs = EXCLUSION_LEASES * leaseMs;
    this.excludedUntil = now + excludedMs;
    exclusion.recordGivenUp(excludedMs);
    log.writeWarning('Gave up a task: its calls get no answer.', place);
    lease.drop();
    this.checkTerm();
  }
}
