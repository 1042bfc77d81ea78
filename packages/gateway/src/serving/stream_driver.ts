/**
 * Drives one stream to its end: an attempt on an engine, and after each loss an attempt
 * on another that goes on after the last event which the caller got. While a
 * attempt runs, its engine copies the memory of the run to a standby engine in
 * another failure domain; after a loss the stream goes on there, so that the
 * prompt need not be read again.
 */
import {EventProgress, type ServerSentEvent} from '@irisdock/decisions';
import type {KnownError, LogFields} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {HeaderLines} from '../model/request_metadata.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest, PlainAnswer} from './caller_exchange.js';
import {KvCacheReplicator} from './kv_cache_replicator.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord, UseClaim} from './endpoint_record.js';
import {admitAttempt} from './attempt_admission.js';
import {PlanSearch} from './plan_search.js';
import type {SendAdmission, SendPermit} from './send_gate.js';
import {SendHolds} from './send_holds.js';
import {
  computeRemainingMs,
  createBusy,
  createNotRun,
  createRefused,
  MAX_BUSY_WAIT_MS,
  recordEndpointFailure,
} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {
  getAttemptDetail,
  hasPossiblyRun,
  StreamAttempt,
  type AttemptPlan,
  type AttemptResult,
} from './stream_attempt.js';
import {StreamEvidence} from './stream_evidence.js';
import {StreamPlanner} from './stream_planner.js';
import {StreamRetries, type RetryDenial} from './stream_retries.js';
import {StreamReport} from './stream_report.js';
import {SuspectRunAdmission} from './suspect_run.js';

/** The longest wait for what became of an engine, in ms; it takes a few. */
const MAX_END_WAIT_MS = 60;

/** Drives one stream. */
export class StreamDriver {
  /** The engine of the last attempt; undefined before the first. */
  lastEndpoint: EndpointRecord | undefined;
  /** Attempts so far. */
  sends = 0;
  private readonly planner: StreamPlanner;
  private readonly progress: EventProgress;
  private readonly repeats: StreamRetries;
  private head: {status: number; lines: HeaderLines} | undefined;
  private isStarted = false;
  private readonly report: StreamReport;
  private last: PlainAnswer | undefined;
  private lossDetail = '';
  private repeatBar: RetryDenial | undefined;
  private readonly search: PlanSearch;
  private readonly holds: SendHolds;
  private readonly evidence: StreamEvidence;
  private readonly suspect: SuspectRunAdmission;

  constructor(
    private readonly parts: ServingParts,
    private readonly prober: EndpointProber,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
  ) {
    const {terms} = request;
    this.holds = new SendHolds(parts);
    this.suspect = new SuspectRunAdmission(parts, request);
    this.planner = new StreamPlanner(parts, request, service);
    const {signal} = request.exchange;
    this.search = new PlanSearch(parts, this.planner, service, signal);
    this.repeats = new StreamRetries(parts, request, route, service);
    this.progress = new EventProgress(terms.lastEventId);
    const {startedAt} = request.exchange;
    this.report = new StreamReport(parts, request.requestId, startedAt);
    const {rollouts, clock} = parts;
    const {report} = this;
    this.evidence = new StreamEvidence(rollouts, route.name, report, clock);
  }

  /** Runs attempts until the stream ends; gives its outcome for the figures. */
  async run(): Promise<string> {
    if (this.progress.lastEventId === undefined) {
      this.planner.setTrial(this.parts.rollouts.takeTrial(this.service));
    }
    await this.planner.findCachedPrompt();
    try {
      return await this.runAttempts();
    } finally {
      this.suspect.close();
    }
  }

  private async runAttempts(): Promise<string> {
    for (;;) {
      const barred = await this.waitAdmitted();
      if (barred !== undefined) return barred;
      const plan = await this.search.find(this.isStarted);
      const {exchange} = this.request;
      if (exchange.hasDisconnected()) return 'left';
      if (plan === undefined) return this.finishLost();
      const permit = await this.admit(plan);
      if (exchange.hasDisconnected()) return 'left';
      if (permit.kind === 'held') {
        this.holds.add(permit);
        this.planner.recordHold(plan);
        // There is an engine, and its limit lets streams through in turn.
        this.search.end();
        continue;
      }
      const result = await this.runAttempt(plan, permit);
      if (exchange.hasDisconnected()) return 'left';
      if (result.kind === 'ended') {
        this.evidence.recordCompletion(plan.endpoint);
        this.parts.crashes.recordCompletion(this.request.content);
        if (!this.isStarted) this.startAnswer();
        exchange.endStream();
        return 'answered';
      }
      this.record(plan, result);
      await this.checkEnd(plan, result);
      if (exchange.isExpired) return this.finishExpired();
      this.repeatBar = this.repeats.findRetryDenial(result);
      if (this.repeatBar !== undefined) return this.finishLost();
    }
  }

  /** Waits until the next attempt may run; gives the outcome if it may not. */
  private async waitAdmitted(): Promise<string | undefined> {
    const {exchange} = this.request;
    const mostMs = this.isStarted ? Infinity : MAX_BUSY_WAIT_MS;
    const admission = await this.suspect.admit(exchange.signal, mostMs);
    if (exchange.hasDisconnected()) return 'left';
    if (exchange.isExpired) return this.finishExpired();
    if (admission === 'admitted') return undefined;
    this.repeatBar = admission === 'busy' ? 'content_busy' : 'content_refused';
    return this.finishLost();
  }

  /** Gives what the line of the request's end tells of its events. */
  listFigures(): LogFields {
    return this.report.listFigures();
  }

  private async admit(plan: AttemptPlan): Promise<SendAdmission> {
    const isBegun = this.progress.lastEventId !== undefined;
    const {signal} = this.request.exchange;
    return admitAttempt(this.parts, plan, isBegun, signal);
  }

  private async runAttempt(
    plan: AttemptPlan,
    permit: SendPermit,
  ): Promise<AttemptResult> {
    const {endpoint, backup, memorySource} = plan;
    const {exchange, requestId, team, body} = this.request;
    const {expectedTokens} = this.planner;
    this.lastEndpoint = endpoint;
    this.search.end();
    this.sends++;
    const claim: UseClaim = {
      running: this.planner.countClaimedSlots(endpoint),
      unreadTokens:
        memorySource === undefined ? this.planner.countUnread(endpoint) : 0,
      expectedTokens,
    };
    const keeper = this.createKeeper(plan);
    const backupClaim = {running: 0, unreadTokens: 0, expectedTokens};
    endpoint.addClaim(claim);
    backup?.addClaim(backupClaim);
    this.parts.endpoints.peers.usePublisher.publishPlaced();
    const attempt = this.createAttempt(plan, claim, keeper);
    const now = this.parts.clock.getNow();
    this.evidence.recordSend();
    const keptTokens = this.planner.countCachedTokens(endpoint);
    this.report.recordSend(plan, this.progress.lastEventId, keptTokens);
    let isCopyNeeded = true;
    try {
      const lines = this.parts.codec.encodeRequest(exchange.lines, {
        endpointId: endpoint.endpointId,
        team,
        remainingMs: computeRemainingMs(this.request, this.route, now),
        lastEventId: this.progress.lastEventId,
        backupAddress: backup?.address,
        kvCacheSource: memorySource,
      });
      const {method, path} = exchange;
      const send = {permit, requestId, method, path, lines, body};
      const result = await attempt.run(send);
      isCopyNeeded = result.kind !== 'ended' && result.kind !== 'stopped';
      return result;
    } finally {
      keeper.stop(isCopyNeeded);
      this.planner.setReplica(keeper.findReplica());
      endpoint.releaseClaim(claim);
      backup?.releaseClaim(backupClaim);
      this.parts.endpoints.peers.usePublisher.publishChanged();
    }
  }

  private createAttempt(
    plan: AttemptPlan,
    claim: UseClaim,
    keeper: KvCacheReplicator,
  ): StreamAttempt {
    const attempt: StreamAttempt = new StreamAttempt(
      this.parts,
      this.prober,
      plan,
      this.route,
      {
        handleHead: (status, lines) => {
          this.head ??= {status, lines};
        },
        handleEvents: (events) => {
          this.markPromptRead(plan.endpoint, claim);
          keeper.start();
          return this.passOn(plan, events, attempt);
        },
      },
      this.request.exchange.signal,
    );
    return attempt;
  }

  /** The first events show that the prompt was read. */
  private markPromptRead(endpoint: EndpointRecord, claim: UseClaim): void {
    if (claim.unreadTokens === 0) return;
    endpoint.markPromptRead(claim);
    this.parts.endpoints.peers.usePublisher.publishChanged();
  }

  private createKeeper({endpoint, backup}: AttemptPlan): KvCacheReplicator {
    const engineRequest = this.planner.createEngineRequest();
    const {requestId} = this.request;
    return new KvCacheReplicator(
      this.parts,
      requestId,
      endpoint,
      backup,
      engineRequest,
    );
  }

  /** Passes events to the caller, each once and in order. */
  private passOn(
    plan: AttemptPlan,
    events: readonly ServerSentEvent[],
    attempt: StreamAttempt,
  ): Promise<void> | undefined {
    const {exchange} = this.request;
    const {lastEventId} = this.progress;
    const nextId = events[0]?.id;
    const isFirst = this.report.recordEvents(plan, lastEventId, nextId);
    if (isFirst) {
      plan.endpoint.recordSuccess(undefined);
      this.evidence.recordFirstEvent(plan.endpoint);
    }
    const {newEvents: fresh, hasGap} = this.progress.accept(events);
    if (hasGap) attempt.end('events are missing');
    const [first] = fresh;
    if (first === undefined) return undefined;
    if (!this.isStarted) this.startAnswer();
    const bytes = fresh.length === 1 ? first : Buffer.concat(fresh);
    const hasRoom = exchange.writeStream(bytes);
    return hasRoom ? undefined : exchange.waitForDrain();
  }

  private startAnswer(): void {
    if (this.head === undefined) return;
    this.isStarted = true;
    this.request.exchange.startStream(this.head.status, this.head.lines);
  }

  private record(plan: AttemptPlan, result: AttemptResult): void {
    const {endpoint} = plan;
    if (result.kind === 'ended') return;
    this.planner.recordAttemptEnd(endpoint, result.kind === 'lost');
    this.progress.markFailover();
    this.lossDetail = getAttemptDetail(result);
    const hasRun = hasPossiblyRun(result);
    this.repeats.record(result);
    if (result.kind === 'failed') {
      this.last = result.answer;
      this.evidence.recordFailure(endpoint);
    }
    if (result.kind === 'stopped') return;
    recordEndpointFailure(this.parts.endpoints, endpoint, result.kind);
    if (!hasRun && result.kind === 'lost') {
      this.parts.endpoints.peers.usePublisher.publishLoss(endpoint.instanceId);
    }
    const {lastEventId} = this.progress;
    this.report.recordLoss(plan, result, this.lossDetail, lastEventId);
  }

  /**
   * Finds out whether the engine of a lost attempt ended under it. It is waited for
   * where the next attempt reads its prompt anew, which takes far longer; a stream
   * that goes on from a copy is not held up.
   */
  private async checkEnd(
    plan: AttemptPlan,
    result: AttemptResult,
  ): Promise<void> {
    if (result.kind !== 'lost' || !result.mayHaveRun) return;
    const {lostRuns} = this.parts;
    const {requestId, content, exchange} = this.request;
    const {endpoint} = plan;
    const run = {requestId, content, endpoint};
    const mostMs = this.planner.hasReplica ? 0 : MAX_END_WAIT_MS;
    await lostRuns.record(run, mostMs, exchange.signal);
  }

  private finishExpired(): string {
    this.finishWith(
      this.repeats.mayHaveRun
        ? GATEWAY_ERRORS.create('timed_out', {ms: this.route.timeoutMs})
        : createNotRun('not_run_in_time', this.service, this.parts.random),
    );
    return 'expired';
  }

  private finishLost(): string {
    const {exchange} = this.request;
    if (!this.isStarted && this.last !== undefined) {
      exchange.sendAnswer(this.last);
      return 'failed';
    }
    const {mayHaveRun} = this.repeats;
    this.finishWith(this.createLoss());
    return mayHaveRun ? 'lost' : 'refused';
  }

  private createLoss(): KnownError {
    const {mayHaveRun, isRefused} = this.repeats;
    if (isRefused) return createRefused(this.request.content, mayHaveRun);
    const detail = this.lossDetail;
    if (mayHaveRun) return GATEWAY_ERRORS.create('stream_lost', {detail});
    if (this.repeatBar === 'content_busy') {
      return createBusy(this.request.content, this.parts.random);
    }
    return this.holds.createError(this.service);
  }

  private finishWith(error: KnownError): void {
    const {exchange, requestId} = this.request;
    if (this.isStarted) exchange.failStream();
    else exchange.refuse(error, false);
    this.parts.log.writeInfo('A stream was not finished.', {
      request: requestId,
      service: this.service,
      kind: error.kind,
      started: this.isStarted,
      runs: this.repeats.runs,
      notRun: this.repeats.notRun,
      detail: this.lossDetail,
      bar: this.repeatBar ?? 'no_engine',
      crashes: this.parts.crashes.countCrashes(this.request.content),
      content: this.request.content,
      ...this.holds.listFields(),
    });
  }
}
