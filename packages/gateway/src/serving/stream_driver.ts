/**
 * Drives one stream to its end. When an attempt is lost, the next one resumes
 * on another engine after the last event that the caller received. Each attempt
 * replicates its KV cache to an engine in another failure domain, so that the
 * next attempt need not process the prompt again.
 */
import {getErrorText, type LogFields} from '@irisdock/kernel';
import type {ServingRoute} from '../model/serving_configuration.js';
import {admitAttempt} from './attempt_admission.js';
import {AttemptEnds} from './attempt_ends.js';
import {
  AttemptRun,
  type AttemptRunParts,
  type PreparedAttempt,
} from './attempt_run.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';
import {EngineLease} from './engine_lease.js';
import {checkEngineExit} from './lost_attempt.js';
import {PlanSearch} from './plan_search.js';
import {SendHolds} from './send_holds.js';
import {checkPath, MAX_BUSY_WAIT_MS} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {
  getAttemptDetail,
  type AttemptPlan,
  type AttemptResult,
} from './stream_attempt.js';
import {StreamEvidence} from './stream_evidence.js';
import {StreamFailure} from './stream_failure.js';
import {StreamHandover} from './stream_handover.js';
import {StreamPlanner} from './stream_planner.js';
import {StreamRelay} from './stream_relay.js';
import {StreamReport} from './stream_report.js';
import {StreamRetries} from './stream_retries.js';
import {StreamSink} from './stream_sink.js';
import {StreamVersion} from './stream_version.js';
import {SuspectRunAdmission} from './suspect_run.js';

/** What a stream does next. */
type AttemptStep =
  | {readonly kind: 'running'; readonly run: AttemptRun}
  /** Another engine may have room. */
  | {readonly kind: 'retry'}
  | {readonly kind: 'done'; readonly outcome: string};

/** Drives one stream. */
export class StreamDriver {
  /** The engine of the last attempt; undefined before the first. */
  lastEndpoint: EndpointRecord | undefined;
  /** The number of attempts so far. */
  sends = 0;
  /** Whether a silent engine, which may go on, was left. */
  private hasLeft = false;
  private readonly version: StreamVersion;
  private readonly planner: StreamPlanner;
  private readonly sink: StreamSink;
  private readonly retries: StreamRetries;
  private readonly report: StreamReport;
  private readonly failure: StreamFailure;
  private readonly relay: StreamRelay;
  private readonly search: PlanSearch;
  private readonly holds: SendHolds;
  private readonly evidence: StreamEvidence;
  private readonly suspect: SuspectRunAdmission;
  private readonly engineLease: EngineLease;
  private readonly handover: StreamHandover;
  private readonly ends: AttemptEnds;
  private readonly runParts: AttemptRunParts;

  constructor(
    private readonly parts: ServingParts,
    prober: EndpointProber,
    private readonly request: AdmittedRequest,
    route: ServingRoute,
    private readonly service: string,
  ) {
    const {metadata, exchange} = request;
    const {signal} = exchange;
    this.holds = new SendHolds(parts);
    this.suspect = new SuspectRunAdmission(parts, request);
    this.version = new StreamVersion(parts, request, service);
    const {binding} = this.version;
    this.planner = new StreamPlanner(parts, request, service, binding);
    this.engineLease = new EngineLease(parts, request);
    const {planner, engineLease} = this;
    this.search = new PlanSearch(parts, planner, engineLease, service, signal);
    this.sink = new StreamSink(exchange, metadata.lastEventId);
    const {sink} = this;
    this.retries = new StreamRetries(parts, request, route, service, sink);
    const {retries} = this;
    this.relay = new StreamRelay(
      parts,
      request,
      route,
      service,
      sink,
      retries,
      this.version,
    );
    this.report = new StreamReport(parts, request, binding);
    this.failure = new StreamFailure(
      parts,
      request,
      route,
      service,
      sink,
      retries,
      this.holds,
      binding,
    );
    const {rollouts, clock} = parts;
    const {report} = this;
    this.evidence = new StreamEvidence(rollouts, route.name, report, clock);
    const {suspect, version, evidence} = this;
    const shared = {serving: parts, prober, request, service, planner};
    const outcomes = {retries, report, evidence};
    this.ends = new AttemptEnds({...shared, ...outcomes});
    const {ends} = this;
    const startRun = (prepared: PreparedAttempt): AttemptRun =>
      this.startRun(prepared);
    const {relay} = this;
    const attempts = {suspect, ends, startRun, relay, binding};
    this.handover = new StreamHandover({...shared, retries, ...attempts});
    const {handover} = this;
    const answerParts = {route, sink, report, version, evidence, handover};
    this.runParts = {...shared, ...answerParts};
  }

  /** Runs attempts until the stream ends; returns its outcome for metrics. */
  async run(): Promise<string> {
    if (!this.isPartitioned()) await this.loadPreferences();
    try {
      return await this.runAttempts();
    } finally {
      this.handover.close();
      this.relay.stopBeside();
      this.engineLease.release();
      this.suspect.close();
      this.version.close();
    }
  }

  /** Only engines of the stream's version are asked for its prompt. */
  private async loadPreferences(): Promise<void> {
    const isBegun = this.sink.lastEventId !== undefined;
    if (isBegun && (await this.version.resolve()) !== undefined) return;
    await this.planner.loadPreferences();
  }

  private isPartitioned(): boolean {
    return this.parts.paths.isPartitioned(this.service);
  }

  /** Whether other hosts run the stream, or one of them does already. */
  private isRelayNeeded(): boolean {
    return this.relay.hasNext || this.isPartitioned();
  }

  private async runAttempts(): Promise<string> {
    for (;;) {
      const next = this.handover.takeNext();
      if (next === undefined && this.isRelayNeeded()) {
        const outcome = await this.runRelayed();
        if (outcome !== undefined) return outcome;
        continue;
      }
      const step = await this.takeStep(next);
      if (step.kind === 'retry') continue;
      if (step.kind === 'done') return step.outcome;
      const {plan} = step.run;
      const result = await this.finishRun(step.run);
      const {exchange} = this.request;
      if (exchange.hasDisconnected()) return 'left';
      if (result.kind === 'ended') {
        this.evidence.recordCompletion(plan.endpoint);
        this.parts.lostRuns.recordCompletion(this.request.content);
        this.sink.end();
        return 'answered';
      }
      this.recordResult(step.run, result);
      await this.checkEngineExit(plan.endpoint, result);
      if (exchange.isExpired) return this.failure.finishExpired();
      if (this.relay.hasNext && !this.retries.isRefused) continue;
      await this.retries.tryBorrow(result);
      this.failure.denial = this.retries.findRetryDenial(result);
      if (this.failure.denial !== undefined) return this.failure.finishLost();
      if (this.handover.hasNext) continue;
      await checkPath(this.parts, this.service, result);
    }
  }

  private async takeStep(next: AttemptRun | undefined): Promise<AttemptStep> {
    if (next === undefined) return this.startNextAttempt();
    return {kind: 'running', run: next};
  }

  /** An attempt that runs already does not wait for the check. */
  private async checkEngineExit(
    endpoint: EndpointRecord,
    result: AttemptResult,
  ): Promise<void> {
    const {parts, request, planner, handover, relay} = this;
    const {hasReplica} = planner;
    const check = checkEngineExit(parts, request, endpoint, result, hasReplica);
    if (!handover.hasNext && !relay.hasNext) {
      await check;
      return;
    }
    check.catch((thrown: unknown) => {
      parts.log.writeError('The check of a left engine failed.', {
        request: request.requestId,
        error: getErrorText(thrown),
      });
    });
  }

  /** Waits for admission, an engine and its permit, and starts the attempt. */
  private async startNextAttempt(): Promise<AttemptStep> {
    if (!(await this.resolveVersion())) return this.finishLost();
    const earlyOutcome = await this.waitForAdmission();
    if (earlyOutcome !== undefined) {
      return {kind: 'done', outcome: earlyOutcome};
    }
    const mayWait = this.sink.isStarted || this.hasLeft;
    const found = await this.search.find(mayWait);
    const {exchange} = this.request;
    if (exchange.hasDisconnected()) return {kind: 'done', outcome: 'left'};
    if (found === undefined) {
      return this.isPartitioned() ? {kind: 'retry'} : this.finishLost();
    }
    const isResumed = this.sink.lastEventId !== undefined;
    const plan = isResumed ? found : await this.findTimelyPlan(found);
    if (exchange.hasDisconnected()) return {kind: 'done', outcome: 'left'};
    if (plan === undefined) return this.finishLost();
    const {signal} = exchange;
    const permit = await admitAttempt(this.parts, plan, isResumed, signal);
    if (exchange.hasDisconnected()) return {kind: 'done', outcome: 'left'};
    if (permit.kind === 'permit') {
      const {engineLease} = this;
      return {kind: 'running', run: this.startRun({plan, permit, engineLease})};
    }
    this.engineLease.release();
    this.holds.add(permit);
    this.planner.recordHold(plan);
    // An engine exists and will admit the stream when its limit allows.
    this.search.end();
    return {kind: 'retry'};
  }

  /**
   * Returns the plan of a new stream, at another engine if its first event
   * would be late at the found one; undefined if it would be at each.
   */
  private async findTimelyPlan(
    found: AttemptPlan,
  ): Promise<AttemptPlan | undefined> {
    const {parts, request, planner, service, engineLease} = this;
    const {route, prober} = this.runParts;
    const isFirst = this.sends === 0 && planner.exclusions.isFirstAttempt;
    // The host that relays the stream would only try others.
    if (!isFirst || request.exchange.hop !== undefined) return found;
    const stream = {request, route, service, planner, prober};
    const late = await parts.lateRefusals.decide(stream);
    if (late === undefined) return found;
    if (late.kind === 'refused') {
      this.failure.refusal = late.error;
      this.failure.denial = 'first_event_late';
      return undefined;
    }
    engineLease.release();
    // It is used without the lease as well, as the alternative is a refusal.
    await engineLease.acquire(late.engine, request.exchange.signal);
    return planner.createPlan(late.engine);
  }

  private finishLost(): AttemptStep {
    return {kind: 'done', outcome: this.failure.finishLost()};
  }

  /**
   * Runs the stream through another host; returns the outcome, or undefined if
   * the stream may be sent again.
   */
  private async runRelayed(): Promise<string | undefined> {
    const {exchange} = this.request;
    // The other host needs the lease itself.
    this.suspect.close();
    const step = await this.relay.run();
    if (exchange.hasDisconnected()) return 'left';
    if (exchange.isExpired) return this.failure.finishExpired();
    if (step.kind === 'retry') return undefined;
    if (step.kind === 'done') return step.outcome;
    this.failure.detail = step.detail;
    this.failure.denial = step.denial;
    return this.failure.finishLost();
  }

  /** Binds a begun stream to its version; false if that is not known. */
  private async resolveVersion(): Promise<boolean> {
    if (this.sink.lastEventId === undefined) return true;
    this.failure.versionDoubt = await this.version.resolve();
    return this.failure.versionDoubt === undefined;
  }

  /** Waits until the next attempt may run; returns the outcome if it can't. */
  private async waitForAdmission(): Promise<string | undefined> {
    const {exchange} = this.request;
    const maxWaitMs = this.sink.isStarted ? Infinity : MAX_BUSY_WAIT_MS;
    const admission = await this.suspect.admit(exchange.signal, maxWaitMs);
    if (exchange.hasDisconnected()) return 'left';
    if (exchange.isExpired) return this.failure.finishExpired();
    if (admission === 'admitted') return undefined;
    this.failure.denial =
      admission === 'busy' ? 'content_busy' : 'content_refused';
    return this.failure.finishLost();
  }

  /** Lists the event timings for the log line of the request's end. */
  listFigures(): LogFields {
    return this.report.listFigures();
  }

  private startRun(prepared: PreparedAttempt): AttemptRun {
    this.sends++;
    return new AttemptRun(this.runParts, prepared);
  }

  /** Passes the answer of an attempt on until the attempt ends. */
  private async finishRun(run: AttemptRun): Promise<AttemptResult> {
    this.lastEndpoint = run.plan.endpoint;
    this.search.end();
    run.open();
    const result = await run.result;
    this.handover.finish(result);
    return result;
  }

  private recordResult({plan}: AttemptRun, result: AttemptResult): void {
    if (result.kind === 'ended') return;
    this.ends.record(plan, result);
    this.sink.markFailover();
    this.failure.detail = getAttemptDetail(result);
    if (result.kind === 'failed') this.failure.lastAnswer = result.answer;
    if (result.kind === 'stopped') return;
    if (result.kind === 'lost' && result.silence !== undefined) {
      this.hasLeft = true;
    }
    const {lastEventId} = this.sink;
    this.report.recordLoss(plan, result, this.failure.detail, lastEventId);
  }
}
