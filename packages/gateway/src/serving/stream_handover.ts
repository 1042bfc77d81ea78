/**
 * Finds where a stream goes on while its engine is silent. The silent attempt
 * keeps running and is left only once the next one is certain: its route allows
 * a retry, an engine that answers has room, and the retry budget grants it.
 * Until then events of the silent engine end the search.
 */
import {getErrorText} from '@irisdock/kernel';
import {admitAttempt} from './attempt_admission.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {KvCacheReplicator} from './kv_cache_replicator.js';
import type {SendPermit} from './send_gate.js';
import type {ServingParts} from './serving_parts.js';
import type {Silence} from './silence_detector.js';
import type {AttemptPlan, StreamAttempt} from './stream_attempt.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamRetries} from './stream_retries.js';
import type {SuspectRunAdmission} from './suspect_run.js';

/** The time between two searches, in ms. */
const SEARCH_INTERVAL_MS = 50;
/** How long the next engine may take to answer a probe, in ms. */
const PROBE_TIMEOUT_MS = 150;

/** An attempt with everything that it needs to start. */
export interface PreparedAttempt {
  readonly plan: AttemptPlan;
  readonly permit: SendPermit;
}

/** An attempt that runs on a silent engine. */
export interface SilentAttempt {
  readonly attempt: Pick<StreamAttempt, 'endSilent'>;
  readonly endpoint: EndpointRecord;
  readonly replicator: Pick<KvCacheReplicator, 'findReplica'>;
  readonly silence: Silence;
  /** Whether the caller has received part of the answer. */
  readonly isStarted: boolean;
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
}

/** Hands one stream over from silent engines. */
export class StreamHandover {
  private search: AbortController | undefined;
  private next: PreparedAttempt | undefined;

  constructor(private readonly parts: StreamHandoverParts) {}

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

  /** Ends the search: the engine goes on, or the attempt has ended. */
  stop(): void {
    if (this.search === undefined) return;
    this.search.abort();
    this.search = undefined;
    this.parts.planner.exclusions.dropSilent();
  }

  /** Takes the attempt for which the last one was left, if there is one. */
  takeNext(): PreparedAttempt | undefined {
    const {next} = this;
    this.next = undefined;
    return next;
  }

  private async run(silent: SilentAttempt, signal: AbortSignal): Promise<void> {
    const {clock} = this.parts.serving;
    this.parts.planner.exclusions.recordSilent(silent.endpoint);
    while (!signal.aborted) {
      if (await this.tryHandOver(silent, signal)) return;
      await clock.wait(SEARCH_INTERVAL_MS, signal);
    }
  }

  /** Prepares the next attempt; leaves the silent one if that succeeds. */
  private async tryHandOver(
    silent: SilentAttempt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {retries, planner} = this.parts;
    if (retries.findLeaveDenial() !== undefined) return false;
    if (!(await this.isAdmitted(signal))) return false;
    if (this.isPartitioned()) return this.tryRelay(silent, signal);
    const plan = await this.findPlan(silent, signal);
    if (plan === undefined) return false;
    const permit = await this.admit(plan, silent, signal);
    if (permit === undefined || signal.aborted) return false;
    if (retries.takeAhead() !== undefined) return false;
    planner.exclusions.dropSilent();
    this.next = {plan, permit};
    this.endSilent(silent, plan.endpoint.instanceId);
    return true;
  }

  /**
   * Leaves the attempt for another host that answers, as this one reaches no
   * engine at all.
   */
  private async tryRelay(
    silent: SilentAttempt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {serving, request, retries, service} = this.parts;
    const {relay} = serving;
    if (request.exchange.hop !== undefined) return false;
    const host = relay.choose(service, new Set());
    if (host === undefined) return false;
    const record = relay.createRecord(host, service);
    const answer = await relay.prober.probeStrictly(record, PROBE_TIMEOUT_MS);
    if (answer !== 'answers' || signal.aborted) return false;
    if (retries.takeAhead() !== undefined) return false;
    this.endSilent(silent, record.instanceId);
    return true;
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
    {endpoint, replicator}: SilentAttempt,
    signal: AbortSignal,
  ): Promise<AttemptPlan | undefined> {
    const {planner, prober} = this.parts;
    if (signal.aborted) return undefined;
    planner.setReplica(replicator.findReplica());
    await planner.pollRemoteEngines();
    if (!this.isCurrent(signal)) return undefined;
    const plan = planner.choosePlan();
    if (plan === undefined) {
      // Those that were silent may answer by now.
      planner.exclusions.dropSilent();
      planner.exclusions.dropHeld();
      planner.exclusions.recordSilent(endpoint);
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

  private endSilent(
    {attempt, endpoint, silence}: SilentAttempt,
    successor: string,
  ): void {
    this.parts.serving.log.writeInfo('A stream leaves a silent engine.', {
      request: this.parts.request.requestId,
      endpoint: endpoint.instanceId,
      to: successor,
      detail: silence.detail,
    });
    attempt.endSilent(silence);
  }
}
