/**
 * Finds where a stream goes on while its engine is silent, or before its engine
 * ends as announced. The silent attempt
 * keeps running while the stream is also sent to another engine, and whichever
 * brings the next event first continues it. The next engine must answer a probe
 * and have room, and route and retry budget must allow the attempt. Should that
 * engine refuse or fail the stream, the silent attempt is still there.
 */
import {getErrorText} from '@irisdock/kernel';
import {admitAttempt} from './attempt_admission.js';
import type {AttemptEnds} from './attempt_ends.js';
import {waitOverlap} from './attempt_overlap.js';
import type {AttemptRun, PreparedAttempt} from './attempt_run.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import {EngineLease} from './engine_lease.js';
import type {RelayHost} from './request_relay.js';
import type {SendPermit} from './send_gate.js';
import type {ServingParts} from './serving_parts.js';
import type {Silence} from './silence_detector.js';
import type {AttemptPlan, AttemptResult} from './stream_attempt.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamRelay} from './stream_relay.js';
import type {StreamRetries} from './stream_retries.js';
import type {SuspectRunAdmission} from './suspect_run.js';

/** The time between two searches, in ms. */
const SEARCH_INTERVAL_MS = 50;
/**
 * The time from a failed attempt beside a silent one to the next, in ms; doubled
 * with each further one, as each takes from the retry budget.
 */
const MIN_TRIAL_INTERVAL_MS = 100;
const MAX_TRIAL_INTERVAL_MS = 800;
/** How long the next engine may take to answer a probe, in ms. */
const PROBE_TIMEOUT_MS = 150;

/** An attempt that runs on a silent engine. */
export interface SilentAttempt {
  readonly run: Pick<AttemptRun, 'endSilent' | 'findReplica' | 'plan'>;
  readonly silence: Silence;
  /** Whether the caller has received part of the answer. */
  readonly isStarted: boolean;
  /** When its engine ends, if the attempt is not silent and left for that. */
  readonly endsAt?: number;
}

/** Dependencies of the handover. */
export interface StreamHandoverParts {
  readonly serving: ServingParts;
  readonly prober: EndpointProber;
  readonly request: AdmittedRequest;
  readonly service: string;
  readonly planner: StreamPlanner;
  readonly retries: StreamRetries;
  readonly suspect: SuspectRunAdmission;
  readonly ends: AttemptEnds;
  readonly relay: Pick<StreamRelay, 'hasNext' | 'startBeside' | 'stopBeside'>;
  readonly startRun: (prepared: PreparedAttempt) => AttemptRun;
}

/** Hands one stream over from silent engines. */
export class StreamHandover {
  private search: AbortController | undefined;
  /** The attempt that runs beside the silent one. */
  private trial: AttemptRun | undefined;
  private next: AttemptRun | undefined;
  /** Whether other hosts are looked for, as this one reaches no engine. */
  private isRelaying = false;

  constructor(private readonly parts: StreamHandoverParts) {}

  /** Whether an attempt runs that continues the stream. */
  get hasNext(): boolean {
    return this.next !== undefined;
  }

  /** Starts the search for the next engine. */
  start(silent: SilentAttempt): void {
    this.stop();
    const search = new AbortController();
    this.search = search;
    const {signal} = this.parts.request.exchange;
    const stopSignal = AbortSignal.any([search.signal, signal]);
    this.run(silent, stopSignal).catch((thrown: unknown) => {
      this.writeFailure(thrown);
    });
  }

  /** Ends the search, as the engine goes on. */
  stop(): void {
    this.cancelTrial();
    this.stopRelay();
    this.endSearch();
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

  private cancelTrial(): void {
    if (this.trial === undefined) return;
    this.trial.cancel();
    this.trial = undefined;
    this.parts.retries.dropGrant();
  }

  /**
   * Whether a silent attempt is kept although the next one has not failed: its
   * engine answers probes, and if the next one failed later, no other attempt
   * would be allowed. An attempt whose engine has ended cannot be kept.
   */
  private isKept({silence, endsAt}: SilentAttempt): boolean {
    if (endsAt !== undefined) return false;
    return silence.isAnswering && !this.parts.retries.hasFurtherRetry;
  }

  private endSearch(): void {
    if (this.search === undefined) return;
    this.search.abort();
    this.search = undefined;
    this.parts.planner.exclusions.dropSilent();
  }

  private async run(silent: SilentAttempt, signal: AbortSignal): Promise<void> {
    const {clock} = this.parts.serving;
    this.parts.planner.exclusions.recordSilent(silent.run.plan.endpoint);
    let intervalMs = MIN_TRIAL_INTERVAL_MS;
    while (!signal.aborted) {
      const prepared = await this.findNext(silent, signal);
      if (prepared === undefined) {
        await clock.wait(SEARCH_INTERVAL_MS, signal);
        continue;
      }
      if (await this.runTrial(silent, prepared, signal)) return;
      await clock.wait(intervalMs, signal);
      intervalMs = Math.min(MAX_TRIAL_INTERVAL_MS, intervalMs * 2);
    }
  }

  /** Prepares the next attempt; undefined if there is none for now. */
  private async findNext(
    silent: SilentAttempt,
    signal: AbortSignal,
  ): Promise<PreparedAttempt | undefined> {
    const {retries, serving, request, planner} = this.parts;
    await retries.tryBorrowToLeave();
    if (retries.findLeaveDenial() !== undefined) return undefined;
    if (!(await this.isAdmitted(signal))) return undefined;
    if (this.isPartitioned()) {
      this.startRelay(silent);
      return undefined;
    }
    this.stopRelay();
    const plan = await this.findPlan(silent, signal);
    if (plan === undefined) return undefined;
    const permit = await this.admit(plan, silent, signal);
    if (permit === undefined || signal.aborted) return undefined;
    const engineLease = new EngineLease(serving, request);
    const isAcquired = await engineLease.acquire(plan.endpoint, signal);
    if (isAcquired) return {plan, permit, engineLease};
    planner.exclusions.recordTaken(plan.endpoint);
    return undefined;
  }

  /**
   * Runs the next attempt beside the silent one, which is left unless the next
   * one fails or the silent engine goes on.
   *
   * @returns Whether the search is over.
   */
  private async runTrial(
    silent: SilentAttempt,
    prepared: PreparedAttempt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {planner, serving, retries, ends} = this.parts;
    if (signal.aborted || retries.takeAhead() !== undefined) {
      prepared.engineLease.release();
      return false;
    }
    const trial = this.parts.startRun(prepared);
    this.trial = trial;
    const isContinued = await this.waitForTrial(silent, trial, signal);
    if (!this.isCurrent(signal)) {
      if (trial.isCancelled) await this.recordUnused(trial);
      return true;
    }
    if (isContinued === undefined && this.isKept(silent)) {
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
    this.endSilent(silent, prepared.plan.endpoint.instanceId);
    return true;
  }

  /**
   * Waits until it is known whether the next attempt continues the stream;
   * undefined if it is not in time. An attempt that is left before its engine
   * ends goes on, so the next one is never ahead of it: its first events show
   * that it can continue.
   */
  private async waitForTrial(
    {endsAt}: SilentAttempt,
    trial: AttemptRun,
    signal: AbortSignal,
  ): Promise<boolean | undefined> {
    const {clock} = this.parts.serving;
    const noAnswer = (): undefined => undefined;
    if (endsAt === undefined) {
      const overlap = waitOverlap(clock, signal).then(noAnswer);
      return Promise.race([trial.waitForContinuation(), overlap]);
    }
    const leftMs = Math.max(0, endsAt - clock.getNow());
    const end = Promise.all([
      clock.wait(leftMs, signal),
      waitOverlap(clock, signal),
    ]).then(noAnswer);
    return Promise.race([trial.waitForAnswer(), end]);
  }

  /** Counts an attempt that was closed, as the silent engine went on. */
  private async recordUnused(trial: AttemptRun): Promise<void> {
    const {serving, request, retries} = this.parts;
    const result = await trial.result;
    retries.recordTrial(result);
    serving.metrics.handovers.inc({result: 'unused'});
    serving.log.writeInfo('A silent engine went on before the next one did.', {
      request: request.requestId,
      unused: trial.plan.endpoint.instanceId,
      result: result.kind,
    });
  }

  /** Looks for another host, as this one reaches no engine at all. */
  private startRelay(silent: SilentAttempt): void {
    if (this.isRelaying) return;
    this.isRelaying = true;
    const leavable = {
      host: undefined,
      endSilent: (_silence: Silence, {name}: RelayHost) => {
        this.endSilent(silent, `host ${name}`);
      },
    };
    this.parts.relay.startBeside(leavable, silent.silence);
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

  /**
   * Whether another run of the content may start now. Whether an earlier one
   * crashed its engine has to be settled first, which takes longer than most
   * silences.
   */
  private async isAdmitted(signal: AbortSignal): Promise<boolean> {
    const {serving, request, suspect} = this.parts;
    if (serving.lostRuns.isExitCheckNeeded(request.content)) return false;
    return (await suspect.admit(signal, 0)) === 'admitted';
  }

  /** Finds an engine that has room for the stream and is not silent itself. */
  private async findPlan(
    {run}: SilentAttempt,
    signal: AbortSignal,
  ): Promise<AttemptPlan | undefined> {
    const {planner, prober} = this.parts;
    if (signal.aborted) return undefined;
    planner.setReplica(run.findReplica());
    await planner.pollRemoteEngines();
    if (!this.isCurrent(signal)) return undefined;
    const plan = planner.choosePlan();
    if (plan === undefined) {
      // Those that were silent may answer by now.
      planner.exclusions.dropSilent();
      planner.exclusions.dropHeld();
      planner.exclusions.recordSilent(run.plan.endpoint);
      return undefined;
    }
    const answer = await prober.probe(plan.endpoint, PROBE_TIMEOUT_MS);
    if (answer === 'answers') return plan;
    if (this.isCurrent(signal)) planner.exclusions.recordSilent(plan.endpoint);
    const {serving, service} = this.parts;
    await serving.paths.check(service);
    return undefined;
  }

  private isCurrent(search: AbortSignal): boolean {
    return !search.aborted;
  }

  private async admit(
    plan: AttemptPlan,
    {isStarted}: SilentAttempt,
    signal: AbortSignal,
  ): Promise<SendPermit | undefined> {
    const {serving, planner} = this.parts;
    const permit = await admitAttempt(serving, plan, isStarted, signal);
    if (permit.kind === 'permit') return permit;
    if (!signal.aborted) planner.recordHold(plan);
    return undefined;
  }

  /** The stream stays at its silent engine, as without a next one. */
  private writeFailure(thrown: unknown): void {
    const {serving, request} = this.parts;
    serving.log.writeError('The search for the next engine failed.', {
      request: request.requestId,
      error: getErrorText(thrown),
    });
  }

  private endSilent(silent: SilentAttempt, successor: string): void {
    const {run, silence, endsAt} = silent;
    const message =
      endsAt === undefined
        ? 'A stream leaves a silent engine.'
        : 'A stream leaves an engine that ends soon.';
    this.parts.serving.log.writeInfo(message, {
      request: this.parts.request.requestId,
      endpoint: run.plan.endpoint.instanceId,
      to: successor,
      detail: silence.detail,
    });
    run.endSilent(silence);
  }
}
