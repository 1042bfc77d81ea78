/** Writes the log lines and metrics of one stream. */
import type {EventId} from '@irisdock/decisions';
import type {LogFields} from '@irisdock/kernel';
import type {AdmittedRequest} from './caller_exchange.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan, AttemptResult} from './stream_attempt.js';
import type {Silence} from './silence_detector.js';
import {getSoftwareVersion, type VersionBinding} from './version_binding.js';

/** Reports the attempts and events of one stream. */
export class StreamReport {
  private lastEventAt: number | undefined;
  private firstEventAt = 0;
  private arrivals = 0;
  private lostAt: number | undefined;
  private firstEventMs: number | undefined;
  private longestPauseMs = 0;
  private lastPlan: AttemptPlan | undefined;
  /** Whether the engine of the current attempt is silent. */
  private isSilent = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly binding: VersionBinding,
  ) {}

  /** Records the start of an attempt. */
  recordSend(
    plan: AttemptPlan,
    lastEventId: EventId | undefined,
    cachedTokens: number,
  ): void {
    const {endpoint, backup, kvCacheSource} = plan;
    this.parts.log.writeInfo('A stream is sent to an engine.', {
      request: this.request.requestId,
      endpoint: endpoint.instanceId,
      softwareVersion: getSoftwareVersion(endpoint),
      resumes: this.request.metadata.resumedRequestId,
      domain: endpoint.failureDomain,
      streams: endpoint.streams,
      unreadTokens: endpoint.unreadTokens,
      backup: backup?.instanceId,
      withMemory: kvCacheSource !== undefined,
      keptTokens: cachedTokens,
      lastEventId,
    });
  }

  /** Records that events arrived; true for the first events of the stream. */
  recordEvents(
    plan: AttemptPlan,
    lastEventId: EventId | undefined,
    nextEventId: EventId | undefined,
  ): boolean {
    const now = this.parts.clock.getNow();
    if (plan !== this.lastPlan) this.countVersion(plan, lastEventId);
    this.lastPlan = plan;
    if (this.lostAt !== undefined) {
      this.recordResumed(plan, now, this.lostAt, {lastEventId, nextEventId});
      this.lostAt = undefined;
    }
    const {lastEventAt} = this;
    this.lastEventAt = now;
    this.arrivals++;
    if (lastEventAt !== undefined) {
      const pauseMs = now - lastEventAt;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
      return false;
    }
    this.firstEventAt = now;
    this.firstEventMs = now - this.request.exchange.startedAt;
    const seconds = this.firstEventMs / 1000;
    this.parts.metrics.answerSeconds.observe({kind: 'stream'}, seconds);
    return true;
  }

  /** Computes the mean time between arrivals, in ms; undefined below two. */
  getPaceMs(): number | undefined {
    const {arrivals, firstEventAt, lastEventAt} = this;
    if (lastEventAt === undefined || arrivals < 2) return undefined;
    return (lastEventAt - firstEventAt) / (arrivals - 1);
  }

  /** Lists the event timings for the log line of the request's end, in ms. */
  listFigures(): LogFields {
    const {firstEventMs, longestPauseMs} = this;
    if (firstEventMs === undefined) return {};
    return {
      firstEventMs: Math.round(firstEventMs),
      longestPauseMs: Math.round(longestPauseMs),
    };
  }

  /** Records that the engine of an attempt fell silent. */
  recordSilence(
    {endpoint}: AttemptPlan,
    {detail, hostStallMs}: Silence,
    lastEventId: EventId | undefined,
  ): void {
    this.isSilent = true;
    this.parts.log.writeInfo('The engine of a stream is silent.', {
      request: this.request.requestId,
      endpoint: endpoint.instanceId,
      detail,
      hostStallMs: Math.round(hostStallMs),
      lastEventId,
    });
  }

  /** Records that a silent engine goes on by itself. */
  recordSilenceEnd({endpoint}: AttemptPlan, silentMs: number): void {
    const {log, metrics} = this.parts;
    this.isSilent = false;
    metrics.silences.inc({end: 'recovered'});
    log.writeInfo('A silent engine goes on.', {
      request: this.request.requestId,
      endpoint: endpoint.instanceId,
      silentMs: Math.round(silentMs),
    });
  }

  /** Records that an attempt ended early. */
  recordLoss(
    plan: AttemptPlan,
    result: AttemptResult,
    detail: string,
    lastEventId: EventId | undefined,
  ): void {
    const {log, metrics, clock} = this.parts;
    this.lostAt ??= clock.getNow();
    this.countSilence(result);
    metrics.losses.inc({reason: result.kind});
    log.writeInfo('A stream attempt ended early.', {
      request: this.request.requestId,
      endpoint: plan.endpoint.instanceId,
      address: plan.endpoint.address,
      result: result.kind,
      detail,
      lastEventId,
      hadMemory: plan.kvCacheSource !== undefined,
    });
  }

  /** Records that an attempt beside a silent one ended early. */
  recordFailedTrial(
    {endpoint}: AttemptPlan,
    result: AttemptResult,
    detail: string,
  ): void {
    const {log, metrics} = this.parts;
    metrics.losses.inc({reason: result.kind});
    log.writeInfo('An attempt beside a silent engine failed.', {
      request: this.request.requestId,
      endpoint: endpoint.instanceId,
      result: result.kind,
      detail,
    });
  }

  /** Counts a silence that the attempt did not outlast. */
  private countSilence(result: AttemptResult): void {
    if (!this.isSilent) return;
    this.isSilent = false;
    const wasLeft = result.kind === 'lost' && result.silence !== undefined;
    this.parts.metrics.silences.inc({end: wasLeft ? 'left' : 'lost'});
  }

  /** Counts a resumption by whether the software version changed. */
  private countVersion(
    {endpoint}: AttemptPlan,
    lastEventId: EventId | undefined,
  ): void {
    if (lastEventId === undefined) return;
    const {origin} = this.binding;
    const isSame = getSoftwareVersion(endpoint) === origin?.version;
    const result = isSame ? 'same' : 'other';
    const version = origin === undefined ? 'unknown' : result;
    this.parts.metrics.resumptions.inc({version});
  }

  private recordResumed(
    plan: AttemptPlan,
    now: number,
    lostAt: number,
    ids: {
      readonly lastEventId: EventId | undefined;
      readonly nextEventId: EventId | undefined;
    },
  ): void {
    const since = this.lastEventAt ?? lostAt;
    this.parts.metrics.resumeSeconds.observe((now - since) / 1000);
    this.parts.log.writeInfo('A stream resumed after a loss.', {
      request: this.request.requestId,
      endpoint: plan.endpoint.instanceId,
      softwareVersion: getSoftwareVersion(plan.endpoint),
      pauseMs: Math.round(now - since),
      noticedMs: Math.round(lostAt - since),
      ...ids,
    });
  }
}
