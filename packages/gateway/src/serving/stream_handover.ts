/**
 * Hands a stream over while its engine is silent, or before its engine ends as
 * announced. The silent attempt keeps running while the stream is also sent to
 * another engine, and whichever brings the next event first continues it.
 * Should that engine refuse or fail the stream, the silent attempt is still
 * there. While the end of its engine is announced, a silence of the engine does
 * not close the next attempt, which has taken a retry and an attempt, as the
 * stream has to leave anyway. Once the next engine is suspected too, the stream
 * leaves at once, so that a third engine is tried before the announced end. If
 * only the next one is, that attempt is left and another one tried meanwhile.
 * An attempt that was sent before the first event may run at another software
 * version than that event binds the stream to; it is closed then.
 *
 * An error in the search counts as a failed attempt: the search goes on until
 * the engine recovers or its attempt ends.
 */
import type {AttemptEnds} from './attempt_ends.js';
import type {AttemptRun, PreparedAttempt} from './attempt_run.js';
import {
  writeLeave,
  writeOtherVersion,
  writeSearchFailure,
  writeUnused,
} from './handover_log.js';
import {
  NextAttemptSearch,
  type NextAttemptSearchParts,
} from './next_attempt_search.js';
import type {RelayHost} from './request_relay.js';
import type {Silence} from './silence_detector.js';
import type {AttemptResult} from './stream_attempt.js';
import type {StreamRelay} from './stream_relay.js';
import {isEnding, waitForTrial} from './trial_wait.js';
import type {VersionBinding} from './version_binding.js';

/** The time between two searches, in ms. */
const SEARCH_INTERVAL_MS = 50;
/**
 * The time from a failed attempt beside a silent one to the next, in ms; doubled
 * with each further one, as each takes from the retry budget.
 */
const MIN_TRIAL_INTERVAL_MS = 100;
const MAX_TRIAL_INTERVAL_MS = 800;

/** An attempt that is left once the next one can continue the stream. */
export interface LeavableAttempt {
  readonly run: Pick<AttemptRun, 'endSilent' | 'findReplica' | 'plan'>;
  /** Why it is left. */
  readonly silence: Silence;
  /** Whether the caller has received part of the answer. */
  readonly isStarted: boolean;
}

interface LeavingAttempt extends LeavableAttempt {
  /**
   * When its engine ends as announced, in ms of the clock; undefined if it is
   * only silent.
   */
  endsAt: number | undefined;
  /** Whether its engine is suspected now. */
  isSilent: boolean;
}

/** How one step of the search ended; 'over' if the search did. */
type SearchStep = 'failed' | 'none' | 'over';

/** Dependencies of the handover. */
export interface StreamHandoverParts extends NextAttemptSearchParts {
  readonly ends: AttemptEnds;
  readonly binding: Pick<VersionBinding, 'isOpenTo'>;
  readonly relay: Pick<StreamRelay, 'hasNext' | 'startBeside' | 'stopBeside'>;
  readonly startRun: (prepared: PreparedAttempt) => AttemptRun;
}

/** Hands one stream over from silent engines. */
export class StreamHandover {
  private readonly nextAttempts: NextAttemptSearch;
  private search: AbortController | undefined;
  /** The attempt for which the search runs. */
  private leaving: LeavingAttempt | undefined;
  /** The attempt that runs beside the silent one. */
  private trial: AttemptRun | undefined;
  private next: AttemptRun | undefined;
  /** Whether other hosts are looked for, as this one reaches no engine. */
  private isRelaying = false;

  constructor(private readonly parts: StreamHandoverParts) {
    this.nextAttempts = new NextAttemptSearch(parts);
  }

  /** Whether an attempt runs that continues the stream. */
  get hasNext(): boolean {
    return this.next !== undefined;
  }

  /**
   * Starts the search for the next engine, as the engine is silent. A search
   * for the announced end goes on.
   */
  start(silent: LeavableAttempt): void {
    const {leaving} = this;
    if (leaving !== undefined && isEnding(leaving)) leaving.isSilent = true;
    else this.startSearch({...silent, endsAt: undefined, isSilent: true});
  }

  /**
   * Starts the search for the next engine, as the engine ends soon. A search
   * for the silence of the engine goes on.
   *
   * @param endsAt When the engine ends, in ms of the clock.
   */
  startLeaving(attempt: LeavableAttempt, endsAt: number): void {
    if (this.leaving !== undefined) this.leaving.endsAt = endsAt;
    else this.startSearch({...attempt, endsAt, isSilent: false});
  }

  /** Ends the search, as the silent engine goes on, unless it ends soon. */
  finishSilence(): void {
    const {leaving} = this;
    if (leaving !== undefined && isEnding(leaving)) leaving.isSilent = false;
    else this.stop();
  }

  /** Closes attempts of another version, as the first event bound the stream. */
  handleBound(): void {
    const {trial} = this;
    const {binding} = this.parts;
    if (trial !== undefined && !binding.isOpenTo(trial.plan.endpoint)) {
      writeOtherVersion(this.parts, trial.plan);
      this.cancelTrial();
    }
    // Another host learns the version when it is asked again.
    this.stopRelay();
  }

  /**
   * Ends the search, as the silent attempt has ended. If it was lost, the one
   * that runs beside it continues the stream.
   */
  finish({kind}: AttemptResult): void {
    if (kind === 'ended' || kind === 'stopped') {
      this.stop();
      return;
    }
    this.next = this.trial ?? this.next;
    this.trial = undefined;
    if (this.parts.relay.hasNext) this.isRelaying = false;
    else this.stopRelay();
    this.endSearch();
  }

  /** Takes the attempt for which the last one was left, if there is one. */
  takeNext(): AttemptRun | undefined {
    const {next} = this;
    this.next = undefined;
    return next;
  }

  /** Closes all attempts that the stream has not taken. */
  close(): void {
    this.stop();
    this.takeNext()?.cancel();
  }

  private startSearch(leaving: LeavingAttempt): void {
    this.stop();
    const search = new AbortController();
    this.search = search;
    this.leaving = leaving;
    const {signal} = this.parts.request.exchange;
    const stopSignal = AbortSignal.any([search.signal, signal]);
    this.run(leaving, stopSignal).catch((thrown: unknown) => {
      writeSearchFailure(this.parts, thrown);
    });
  }

  private stop(): void {
    this.cancelTrial();
    this.stopRelay();
    this.endSearch();
  }

  private cancelTrial(): void {
    if (this.trial === undefined) return;
    this.trial.cancel();
    this.trial = undefined;
    this.parts.retries.dropGrant();
  }

  /** Closes the trial after an error, which may have run at its engine. */
  private failTrial(): void {
    if (this.trial === undefined) return;
    this.parts.retries.recordTrial({kind: 'stopped', mayHaveRun: true});
    this.cancelTrial();
  }

  /**
   * Whether a silent attempt is kept although the next one has not failed: its
   * engine answers probes, and if the next one failed later, no other attempt
   * would be allowed. An attempt whose engine has ended cannot be kept.
   */
  private isKept({silence, endsAt}: LeavingAttempt): boolean {
    if (endsAt !== undefined) return false;
    return silence.isAnswering && !this.parts.retries.hasFurtherRetry;
  }

  private endSearch(): void {
    if (this.search === undefined) return;
    this.search.abort();
    this.search = undefined;
    this.leaving = undefined;
    this.parts.planner.exclusions.dropSilent();
  }

  private async run(
    leaving: LeavingAttempt,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts.serving;
    this.parts.planner.exclusions.recordSilent(leaving.run.plan.endpoint);
    let intervalMs = MIN_TRIAL_INTERVAL_MS;
    while (!signal.aborted && !this.hasNext) {
      const step = await this.tryNext(leaving, signal);
      if (step === 'over') return;
      if (step === 'none') {
        await clock.wait(SEARCH_INTERVAL_MS, signal);
        continue;
      }
      await clock.wait(intervalMs, signal);
      intervalMs = Math.min(MAX_TRIAL_INTERVAL_MS, intervalMs * 2);
    }
  }

  /** Looks for the next attempt and runs it; a throw counts as its failure. */
  private async tryNext(
    leaving: LeavingAttempt,
    signal: AbortSignal,
  ): Promise<SearchStep> {
    try {
      const prepared = await this.findNext(leaving, signal);
      if (prepared === undefined) return 'none';
      const isOver = await this.runTrial(leaving, prepared, signal);
      return isOver ? 'over' : 'failed';
    } catch (thrown) {
      // A trial that runs after the abort belongs to a later search.
      if (this.isCurrent(signal)) this.failTrial();
      writeSearchFailure(this.parts, thrown);
      return 'failed';
    }
  }

  /** Prepares the next attempt; undefined if there is none for now. */
  private async findNext(
    leaving: LeavingAttempt,
    signal: AbortSignal,
  ): Promise<PreparedAttempt | undefined> {
    if (!(await this.nextAttempts.isAllowed(signal))) return undefined;
    if (this.isPartitioned()) {
      this.startRelay(leaving);
      return undefined;
    }
    this.stopRelay();
    return this.nextAttempts.find(leaving, signal);
  }

  /**
   * Runs the next attempt beside the silent one, which is left unless the next
   * one fails or the silent engine goes on.
   *
   * @returns Whether the search is over.
   */
  private async runTrial(
    leaving: LeavingAttempt,
    prepared: PreparedAttempt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {planner, serving, retries, ends} = this.parts;
    const trial = this.startTrial(prepared, signal);
    if (trial === undefined) return false;
    const {clock} = serving;
    const {endpoint} = prepared.plan;
    const hasAlternative = (): boolean =>
      this.nextAttempts.hasAlternative(endpoint);
    const wait = {owner: leaving, trial, clock, hasAlternative};
    const isContinued = await waitForTrial(wait, signal);
    if (!this.isCurrent(signal)) {
      if (trial.isCancelled) await this.recordUnused(trial);
      return true;
    }
    if (trial.isCancelled) {
      await this.recordUnused(trial);
      return false;
    }
    if (isContinued === undefined && this.isKept(leaving)) {
      this.cancelTrial();
      await this.recordUnused(trial);
      return false;
    }
    this.trial = undefined;
    if (isContinued === false) {
      retries.dropGrant();
      serving.metrics.handovers.inc({result: 'failed'});
      await ends.recordTrial(prepared.plan, await trial.result);
      return false;
    }
    planner.exclusions.dropSilent();
    this.next = trial;
    serving.metrics.handovers.inc({result: 'taken'});
    this.endSilent(leaving, prepared.plan.endpoint.instanceId);
    return true;
  }

  /**
   * Starts the next attempt; undefined if there is no retry for it. The attempt
   * releases the lease on its engine at its end, once it runs.
   */
  private startTrial(
    prepared: PreparedAttempt,
    signal: AbortSignal,
  ): AttemptRun | undefined {
    const {binding, retries} = this.parts;
    // The first event may have come since it was placed.
    const isOpen = binding.isOpenTo(prepared.plan.endpoint);
    try {
      if (isOpen && !signal.aborted && retries.takeAhead() === undefined) {
        this.trial = this.parts.startRun(prepared);
        return this.trial;
      }
      prepared.engineLease.release();
      return undefined;
    } catch (thrown) {
      retries.recordFailedStart();
      prepared.engineLease.release();
      throw thrown;
    }
  }

  /** Counts an attempt that was closed, as the silent engine went on. */
  private async recordUnused(trial: AttemptRun): Promise<void> {
    const {serving, retries} = this.parts;
    const result = await trial.result;
    retries.recordTrial(result);
    serving.metrics.handovers.inc({result: 'unused'});
    writeUnused(this.parts, trial.plan, result);
  }

  /** Looks for another host, as this one reaches no engine at all. */
  private startRelay(leaving: LeavingAttempt): void {
    if (this.isRelaying) return;
    this.isRelaying = true;
    const leavable = {
      host: undefined,
      endSilent: (_silence: Silence, {name}: RelayHost) => {
        this.endSilent(leaving, `host ${name}`);
      },
    };
    this.parts.relay.startBeside(leavable, leaving.silence);
  }

  private stopRelay(): void {
    if (!this.isRelaying) return;
    this.isRelaying = false;
    this.parts.relay.stopBeside();
  }

  private isPartitioned(): boolean {
    const {serving, service} = this.parts;
    return serving.paths.isPartitioned(service);
  }

  private isCurrent(search: AbortSignal): boolean {
    return !search.aborted;
  }

  private endSilent(leaving: LeavingAttempt, successor: string): void {
    const {run, silence} = leaving;
    writeLeave(this.parts, leaving, successor);
    run.endSilent(silence);
  }
}
