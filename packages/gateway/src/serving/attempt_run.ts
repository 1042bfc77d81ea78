/**
 * One attempt of a stream with what it holds: its room on the engine, its
 * replica of the KV cache, and its lease. Its answer is held until the attempt
 * is the stream's current one; a second attempt may run beside a silent one.
 */
import type {EventId, ServerSentEvent} from '@irisdock/decisions';
import {getErrorText} from '@irisdock/kernel';
import type {ServingRoute} from '../model/serving_configuration.js';
import {AnswerGate} from './answer_gate.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {UseClaim} from './endpoint_record.js';
import {EndpointEndWatch} from './endpoint_end_watch.js';
import type {EngineLease} from './engine_lease.js';
import {KvCacheReplicator, type KvCacheReplica} from './kv_cache_replicator.js';
import type {SendPermit} from './send_gate.js';
import {computeRemainingMs} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import type {Silence} from './silence_detector.js';
import {
  StreamAttempt,
  type AttemptListener,
  type AttemptPlan,
  type AttemptResult,
} from './stream_attempt.js';
import type {StreamEvidence} from './stream_evidence.js';
import type {StreamHandover} from './stream_handover.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamReport} from './stream_report.js';
import type {StreamSink} from './stream_sink.js';
import type {StreamVersion} from './stream_version.js';

/** An attempt with everything that it needs to start. */
export interface PreparedAttempt {
  readonly plan: AttemptPlan;
  readonly permit: SendPermit;
  /** The lease on its engine, released when the attempt ends. */
  readonly engineLease: EngineLease;
}

/** The parts of one stream that its attempts use. */
export interface AttemptRunParts {
  readonly serving: ServingParts;
  readonly prober: EndpointProber;
  readonly request: AdmittedRequest;
  readonly service: string;
  readonly route: ServingRoute;
  readonly planner: StreamPlanner;
  readonly sink: StreamSink;
  readonly report: StreamReport;
  readonly evidence: StreamEvidence;
  readonly version: StreamVersion;
  readonly handover: Pick<
    StreamHandover,
    'finishSilence' | 'handleBound' | 'start' | 'startLeaving'
  >;
}

/** One attempt of a stream. */
export class AttemptRun {
  /** Resolves when the attempt has ended. */
  readonly result: Promise<AttemptResult>;
  private readonly gate: AnswerGate;
  private readonly attempt: StreamAttempt;
  private readonly replicator: KvCacheReplicator;
  private readonly claim: UseClaim;
  private readonly endWatch: EndpointEndWatch;
  private readonly sentAt: number;
  /** The event after which it resumes; undefined for a new stream. */
  private readonly resumedAfter: EventId | undefined;
  /** Whether its engine had no other prompt to read when it was sent. */
  private readonly isReadAlone: boolean;
  /** Unread tokens on its engine, its own included, when it was sent. */
  private readonly unreadAtSend: number;
  private isOpen = false;
  private isUnneeded = false;
  private hasEnded = false;

  /** Starts the attempt. */
  constructor(
    private readonly parts: AttemptRunParts,
    private readonly prepared: PreparedAttempt,
  ) {
    const {serving, prober, request, route, planner, sink} = parts;
    const {plan} = prepared;
    const {requestId, exchange} = request;
    this.claim = planner.createClaim(plan);
    this.unreadAtSend = plan.endpoint.unreadTokens + this.claim.unreadTokens;
    this.sentAt = serving.clock.getNow();
    this.resumedAfter = sink.lastEventId;
    this.isReadAlone = plan.endpoint.unreadTokens === 0;
    this.gate = new AnswerGate(
      this.createListener(),
      sink,
      this.resumedAfter,
      (detail) => {
        this.attempt.end(detail);
      },
    );
    this.attempt = new StreamAttempt(
      serving,
      prober,
      plan,
      route,
      this.gate,
      exchange.signal,
    );
    this.replicator = new KvCacheReplicator(
      serving,
      requestId,
      plan.endpoint,
      plan.backup,
      planner.createEngineRequest(),
    );
    this.endWatch = new EndpointEndWatch(
      plan.endpoint,
      serving.clock,
      serving.random,
      (endsAt) => {
        this.startLeaving(endsAt);
      },
    );
    this.result = this.run();
  }

  get plan(): AttemptPlan {
    return this.prepared.plan;
  }

  /** Whether it was closed because the stream does not need it. */
  get isCancelled(): boolean {
    return this.isUnneeded;
  }

  /** The silence for which its engine is suspected while its answer is held. */
  get heldSilence(): Silence | undefined {
    return this.gate.heldSilence;
  }

  /** Makes it the stream's current attempt, whose answer is passed on. */
  open(): void {
    this.isOpen = true;
    this.gate.open();
    if (!this.hasEnded) this.endWatch.start();
  }

  /** Closes an attempt that the stream does not need. */
  cancel(): void {
    this.isUnneeded = true;
    this.attempt.end('another attempt continued the stream');
    this.result.catch((thrown: unknown) => {
      this.parts.serving.log.writeError('An attempt that was closed failed.', {
        request: this.parts.request.requestId,
        error: getErrorText(thrown),
      });
    });
  }

  /** Leaves the silent engine of the attempt for another one. */
  endSilent(silence: Silence): void {
    this.attempt.endSilent(silence);
  }

  /** Returns the replica of its KV cache; undefined when there is none. */
  findReplica(): KvCacheReplica | undefined {
    return this.replicator.findReplica();
  }

  /**
   * Waits until an attempt whose answer is held has ended or has the next events
   * of the stream; tells whether it continues the stream.
   */
  async waitForContinuation(): Promise<boolean> {
    return Promise.race([
      this.gate.continued.then(() => true),
      this.result.then(({kind}) => kind === 'ended'),
    ]);
  }

  /** Waits until an attempt has ended or has events; tells whether it has. */
  async waitForAnswer(): Promise<boolean> {
    return Promise.race([
      this.gate.answered.then(() => true),
      this.result.then(({kind}) => kind === 'ended'),
    ]);
  }

  /** Leaves an endpoint that ends soon, while its attempt goes on. */
  private startLeaving(endsAt: number): void {
    const {sink, handover} = this.parts;
    const silence = {
      detail: 'its endpoint ends soon',
      isAnswering: true,
      hostStallMs: 0,
    };
    const {isStarted} = sink;
    handover.startLeaving({run: this, silence, isStarted}, endsAt);
  }

  /** Runs the attempt to its end. */
  private async run(): Promise<AttemptResult> {
    const {endpoint, backup} = this.plan;
    const {serving, planner, report} = this.parts;
    const {claim, replicator} = this;
    serving.demand.recordPrompt(endpoint.entry.service, claim.unreadTokens);
    const backupClaim = {...claim, running: 0, unreadTokens: 0};
    endpoint.addClaim(claim);
    backup?.addClaim(backupClaim);
    const {usePublisher} = serving.endpoints.peers;
    usePublisher.publishPlaced();
    const cachedTokens = planner.countCachedTokens(endpoint);
    report.recordSend(this.plan, this.resumedAfter, cachedTokens);
    let isReplicaNeeded = true;
    try {
      const result = await this.send();
      isReplicaNeeded = result.kind !== 'ended' && result.kind !== 'stopped';
      return result;
    } finally {
      this.hasEnded = true;
      this.endWatch.stop();
      this.prepared.engineLease.release();
      replicator.stop(isReplicaNeeded);
      if (this.isOpen) planner.setReplica(replicator.findReplica());
      endpoint.releaseClaim(claim);
      backup?.releaseClaim(backupClaim);
      usePublisher.publishChanged();
    }
  }

  private async send(): Promise<AttemptResult> {
    const {serving, request, route} = this.parts;
    const {exchange, requestId, team, body} = request;
    const {plan, permit} = this.prepared;
    const lines = serving.codec.encodeRequest(request.lines, {
      endpointId: plan.endpoint.endpointId,
      team,
      remainingMs: computeRemainingMs(request, route, this.sentAt),
      lastEventId: this.resumedAfter,
      backupAddress: plan.backup?.address,
      kvCacheSource: plan.kvCacheSource,
    });
    const {method, path} = exchange;
    const send = {permit, requestId, method, path, lines, body};
    return this.attempt.run(send);
  }

  private createListener(): AttemptListener {
    const {plan} = this;
    const {sink, report, handover} = this.parts;
    return {
      handleHead: (status, lines) => {
        sink.setHead(status, lines);
      },
      handleEvents: (events) => {
        this.markPromptRead();
        this.replicator.start();
        return this.passToCaller(events);
      },
      handleSuspected: (silence) => {
        report.recordSilence(plan, silence, sink.lastEventId);
        handover.start({run: this, silence, isStarted: sink.isStarted});
      },
      handleRecovered: (silentMs) => {
        report.recordSilenceEnd(plan, silentMs);
        handover.finishSilence();
      },
    };
  }

  /** Marks the prompt as processed, which the first events imply. */
  private markPromptRead(): void {
    const {unreadTokens} = this.claim;
    if (unreadTokens === 0) return;
    const {endpoint} = this.plan;
    const {serving, service} = this.parts;
    const ms = serving.clock.getNow() - this.sentAt;
    serving.lateRefusals.recordFirstEvent(service, this.unreadAtSend, ms);
    if (this.isReadAlone) {
      serving.demand.recordIdleRead(service, unreadTokens, ms);
    }
    endpoint.markPromptRead(this.claim);
    serving.endpoints.peers.usePublisher.publishChanged();
  }

  /** Writes events to the caller, each once and in order. */
  private passToCaller(
    events: readonly ServerSentEvent[],
  ): Promise<void> | undefined {
    const {sink, report, evidence, version, serving, request, handover} =
      this.parts;
    const {endpoint} = this.plan;
    const {lastEventId} = sink;
    const nextId = events[0]?.id;
    const isFirst = report.recordEvents(this.plan, lastEventId, nextId);
    // A stream that another host began has events already.
    if (isFirst && lastEventId === undefined && !sink.isStarted) {
      serving.begunRequests.recordStream(request.team);
    }
    if (isFirst) {
      endpoint.recordSuccess(undefined);
      evidence.recordFirstEvent(endpoint, this.sentAt);
    }
    const isBound = version.binding.origin !== undefined;
    version.recordEvent(endpoint);
    if (!isBound) handover.handleBound();
    const {fault, drained} = sink.passEvents(events);
    if (fault !== undefined) this.attempt.end(fault);
    return drained;
  }
}
