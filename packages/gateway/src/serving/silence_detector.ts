/**
 * Detects when a stream has gone silent. After a short silence the endpoint is
 * probed. If it does not answer, the stream is suspected to be lost at once,
 * until a later probe is answered; if it does, the stream gets more time. Before
 * the first event the endpoint is only probed repeatedly, as long prompts take
 * long to process. The time limits follow from the latency targets of the
 * stream's route (silence_limits.ts).
 *
 * All limits are in running time: a process that stood still could not read what
 * arrived meanwhile, and sockets are read before a limit is over.
 *
 * A suspicion is no loss: a sound endpoint may be silent for a second and go
 * on, and one that accepts no connections may still serve those it has. It ends
 * with the next event; an endpoint that exits closes the stream's connection.
 */
import {computeSilenceLimits, type SilenceLimits} from '@irisdock/decisions';
import {RunningStopwatch, RunningTimer, type Clock} from '@irisdock/kernel';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';

/** Unanswered probes before the first event until the stream is suspected. */
const MAX_UNANSWERED_PROBES = 2;

/** The latency targets of a stream's route, in ms. */
export interface StreamTargets {
  readonly targetGapMs?: number | undefined;
  readonly targetLatencyMs: number;
  /** Whether no stream is suspected whose endpoint answers probes. */
  readonly toleratesSilence?: boolean;
}

/** A silence that may be a loss. */
export interface Silence {
  /** What shows it, for logs. */
  readonly detail: string;
  /** Whether the endpoint answers probes though its stream is silent. */
  readonly isAnswering: boolean;
  /** How long this process itself stood still since the last event, in ms. */
  readonly hostStallMs: number;
}

/** Receives the verdicts on one stream. */
export interface SilenceListener {
  /** The stream is silent and may be lost. */
  handleSuspected(silence: Silence): void;
  /** A suspected stream goes on; it was silent for this time, in ms. */
  handleRecovered(silentMs: number): void;
}

/** Detects the silence of one stream. */
export class SilenceDetector {
  private timer: RunningTimer | undefined;
  private hasEvents = false;
  private readonly startedAt: number;
  /** Whether the time since the last event is a gap of the engine. */
  private isGapMeasured = false;
  /** When the silence started: at the last event, or when reading resumed. */
  private silentSince = 0;
  /** Measures the silence in running time. */
  private readonly silenceWatch: RunningStopwatch;
  private unansweredProbes = 0;
  /** Incremented with each event, to detect probes that are out of date. */
  private eventCount = 0;
  private isStopped = false;
  /** Whether the current timer checks for silence between events. */
  private isCheckPlanned = false;
  private isSuspected = false;
  private stopWatching: (() => void) | undefined;

  constructor(
    private readonly endpoint: EndpointRecord,
    private readonly prober: Pick<EndpointProber, 'probe'>,
    private readonly targets: StreamTargets,
    private readonly clock: Clock,
    private readonly listener: SilenceListener,
  ) {
    this.startedAt = clock.getNow();
    this.silenceWatch = new RunningStopwatch(clock);
  }

  /** Starts to wait for the first event. */
  start(): void {
    this.stopWatching = this.clock.watchStalls();
    this.silenceWatch.start();
    this.plan(this.getLimits().firstProbeAfterMs, () =>
      this.probeBeforeFirst(),
    );
  }

  /** Records that events arrived. */
  recordEvents(): void {
    this.endSuspicion();
    if (this.isGapMeasured) {
      this.endpoint.recordGap(this.silenceWatch.getElapsedMs());
    }
    this.startSilence();
    this.isGapMeasured = true;
    this.hasEvents = true;
    this.eventCount++;
    // A running timer is not reset; it checks the time of the last event when
    // it fires. A new timer for each event would be the largest cost of this
    // class.
    if (!this.isCheckPlanned) this.planCheck(this.getLimits().probeAfterMs);
  }

  /**
   * Records that the stream is not read, as its caller is slow. Its engine
   * cannot send meanwhile, so nothing counts as silence.
   */
  pause(): void {
    this.timer?.close();
    this.isCheckPlanned = false;
    this.isGapMeasured = false;
  }

  /** Records that the stream is read again. */
  resume(): void {
    this.startSilence();
    this.planCheck(this.getLimits().probeAfterMs);
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.close();
    this.stopWatching?.();
    this.setSuspected(false);
  }

  private startSilence(): void {
    this.silentSince = this.clock.getNow();
    this.silenceWatch.start();
  }

  private getLimits(): SilenceLimits {
    const {targetGapMs, targetLatencyMs} = this.targets;
    const {usualGapMs} = this.endpoint;
    return computeSilenceLimits({targetGapMs, targetLatencyMs, usualGapMs});
  }

  private plan(ms: number, callback: () => Promise<void>): void {
    this.timer?.close();
    if (this.isStopped) return;
    this.timer = new RunningTimer(this.clock, ms, () => void callback());
  }

  private planCheck(ms: number): void {
    this.plan(ms, () => this.checkSilence());
    this.isCheckPlanned = true;
  }

  /** Probes the endpoint, unless events arrived since the timer was set. */
  private async checkSilence(): Promise<void> {
    const {probeAfterMs} = this.getLimits();
    const leftMs = probeAfterMs - this.silenceWatch.getElapsedMs();
    if (leftMs > 0) {
      this.planCheck(leftMs);
      return;
    }
    this.isCheckPlanned = false;
    await this.probeInStream();
  }

  private async probeBeforeFirst(): Promise<void> {
    const {probeTimeoutMs, probeIntervalMs} = this.getLimits();
    const result = await this.prober.probe(this.endpoint, probeTimeoutMs);
    if (this.hasEvents || this.isStopped) return;
    const isAnswering = result === 'answers';
    this.unansweredProbes = isAnswering ? 0 : this.unansweredProbes + 1;
    if (isAnswering) this.endSuspicion();
    if (this.unansweredProbes === MAX_UNANSWERED_PROBES) {
      this.markSuspected('no answer before the first event', false);
    }
    const isFirstUnanswered = this.unansweredProbes === 1;
    const waitMs = isFirstUnanswered ? 0 : probeIntervalMs;
    this.plan(waitMs, () => this.probeBeforeFirst());
  }

  private async probeInStream(): Promise<void> {
    const {eventCount} = this;
    const {probeAfterMs, probeTimeoutMs, lostAfterMs} = this.getLimits();
    const result = await this.prober.probe(this.endpoint, probeTimeoutMs);
    if (eventCount !== this.eventCount || this.isStopped) return;
    if (result !== 'answers') {
      // The next probe may end the suspicion, so the first one is sent at once.
      const waitMs = this.isSuspected ? probeAfterMs : 0;
      this.markSuspected('silent, and no answer to a question', false);
      this.plan(waitMs, () => this.probeInStream());
      return;
    }
    const silentMs = this.silenceWatch.getElapsedMs();
    if (silentMs < lostAfterMs) this.endSuspicion();
    if (this.isSuspected || this.targets.toleratesSilence === true) {
      this.plan(probeAfterMs, () => this.probeInStream());
      return;
    }
    this.plan(lostAfterMs - silentMs, () => {
      this.markSuspected('silent, though the endpoint answers', true);
      return this.probeInStream();
    });
  }

  private markSuspected(detail: string, isAnswering: boolean): void {
    if (this.isSuspected || this.isStopped) return;
    this.setSuspected(true);
    const hostStallMs = this.silenceWatch.getStalledMs();
    this.listener.handleSuspected({detail, isAnswering, hostStallMs});
  }

  private endSuspicion(): void {
    if (!this.isSuspected) return;
    this.setSuspected(false);
    const since = this.hasEvents ? this.silentSince : this.startedAt;
    this.listener.handleRecovered(this.clock.getNow() - since);
  }

  /** A suspicion also keeps other streams away from the endpoint. */
  private setSuspected(isSuspected: boolean): void {
    if (this.isSuspected === isSuspected) return;
    this.isSuspected = isSuspected;
    this.endpoint.countSuspicion(isSuspected ? 1 : -1);
  }
}
