/**
 * Runs the attempts of one stream: claims the engine's room, keeps a replica of
 * the KV cache, passes events to the caller, and starts a handover while the
 * engine is silent.
 */
import type {ServerSentEvent} from '@irisdock/decisions';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord, UseClaim} from './endpoint_record.js';
import type {EngineLease} from './engine_lease.js';
import {KvCacheReplicator} from './kv_cache_replicator.js';
import {computeRemainingMs} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {
  StreamAttempt,
  type AttemptPlan,
  type AttemptResult,
} from './stream_attempt.js';
import type {StreamEvidence} from './stream_evidence.js';
import type {PreparedAttempt, StreamHandover} from './stream_handover.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamReport} from './stream_report.js';
import type {StreamSink} from './stream_sink.js';
import type {StreamVersion} from './stream_version.js';

/** The parts of one stream that its attempts use. */
export interface AttemptRunnerParts {
  readonly serving: ServingParts;
  readonly prober: EndpointProber;
  readonly request: AdmittedRequest;
  readonly route: ServingRoute;
  readonly planner: StreamPlanner;
  readonly sink: StreamSink;
  readonly report: StreamReport;
  readonly evidence: StreamEvidence;
  readonly version: StreamVersion;
  readonly engineLease: EngineLease;
  readonly handover: StreamHandover;
}

/** Runs attempts of one stream, one at a time. */
export class AttemptRunner {
  constructor(private readonly parts: AttemptRunnerParts) {}

  /** Runs one attempt to its end. */
  async run({plan, permit}: PreparedAttempt): Promise<AttemptResult> {
    const {endpoint, backup, kvCacheSource} = plan;
    const {serving, request, route, planner, sink, handover} = this.parts;
    const {exchange, requestId, team, body} = request;
    const claim = planner.createClaim(plan);
    const replicator = this.createReplicator(plan);
    const backupClaim = {...claim, running: 0, unreadTokens: 0};
    endpoint.addClaim(claim);
    backup?.addClaim(backupClaim);
    const {usePublisher} = serving.endpoints.peers;
    usePublisher.publishPlaced();
    const attempt = this.createAttempt(plan, claim, replicator);
    const now = serving.clock.getNow();
    this.parts.evidence.recordSend();
    const cachedTokens = planner.countCachedTokens(endpoint);
    this.parts.report.recordSend(plan, sink.lastEventId, cachedTokens);
    let isReplicaNeeded = true;
    try {
      const lines = serving.codec.encodeRequest(exchange.lines, {
        endpointId: endpoint.endpointId,
        team,
        remainingMs: computeRemainingMs(request, route, now),
        lastEventId: sink.lastEventId,
        backupAddress: backup?.address,
        kvCacheSource,
      });
      const {method, path} = exchange;
      const send = {permit, requestId, method, path, lines, body};
      const result = await attempt.run(send);
      isReplicaNeeded = result.kind !== 'ended' && result.kind !== 'stopped';
      return result;
    } finally {
      handover.stop();
      this.parts.engineLease.release();
      replicator.stop(isReplicaNeeded);
      planner.setReplica(replicator.findReplica());
      endpoint.releaseClaim(claim);
      backup?.releaseClaim(backupClaim);
      usePublisher.publishChanged();
    }
  }

  private createAttempt(
    plan: AttemptPlan,
    claim: UseClaim,
    replicator: KvCacheReplicator,
  ): StreamAttempt {
    const {serving, prober, route, sink, report, handover} = this.parts;
    const {endpoint} = plan;
    const attempt: StreamAttempt = new StreamAttempt(
      serving,
      prober,
      plan,
      route,
      {
        handleHead: (status, lines) => {
          sink.setHead(status, lines);
        },
        handleEvents: (events) => {
          this.markPromptRead(endpoint, claim);
          replicator.start();
          return this.passToCaller(plan, events, attempt);
        },
        handleSuspected: (silence) => {
          report.recordSilence(plan, silence, sink.lastEventId);
          const {isStarted} = sink;
          handover.start({attempt, endpoint, replicator, silence, isStarted});
        },
        handleRecovered: (silentMs) => {
          report.recordSilenceEnd(plan, silentMs);
          handover.stop();
        },
      },
      this.parts.request.exchange.signal,
    );
    return attempt;
  }

  /** Marks the prompt as processed, which the first events imply. */
  private markPromptRead(endpoint: EndpointRecord, claim: UseClaim): void {
    if (claim.unreadTokens === 0) return;
    endpoint.markPromptRead(claim);
    this.parts.serving.endpoints.peers.usePublisher.publishChanged();
  }

  private createReplicator({endpoint, backup}: AttemptPlan): KvCacheReplicator {
    const {serving, request, planner} = this.parts;
    const engineRequest = planner.createEngineRequest();
    const {requestId} = request;
    return new KvCacheReplicator(
      serving,
      requestId,
      endpoint,
      backup,
      engineRequest,
    );
  }

  /** Writes events to the caller, each once and in order. */
  private passToCaller(
    plan: AttemptPlan,
    events: readonly ServerSentEvent[],
    attempt: StreamAttempt,
  ): Promise<void> | undefined {
    const {sink, report, evidence, version} = this.parts;
    const {lastEventId} = sink;
    const nextId = events[0]?.id;
    const isFirst = report.recordEvents(plan, lastEventId, nextId);
    if (isFirst) {
      plan.endpoint.recordSuccess(undefined);
      evidence.recordFirstEvent(plan.endpoint);
    }
    version.recordEvent(plan.endpoint);
    const {fault, drained} = sink.passEvents(events);
    if (fault !== undefined) attempt.end(fault);
    return drained;
  }
}
