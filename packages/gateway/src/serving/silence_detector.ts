/**
 * Detects when a stream has gone silent. After a short silence the endpoint is
 * probed: if it does not answer, the stream is lost at once; if it does, the
 * stream gets more time. Before the first event the endpoint is only probed
 * repeatedly, as long prompts take long to process. The time limits follow from
 * the latency targets of the stream's route (silence_limits.ts).
 */
import {computeSilenceLimits, type SilenceLimits} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';

/** Unanswered probes before the first event after which the stream is lost. */
const MAX_UNANSWERED_PROBES = 2;

/** The latency targets of a stream's route, in ms. */
export interface StreamTargets {
  readonly targetGapMs?: number | undefined;
  readonly targetLatencyMs: number;
  /** Whether a stream is not lost as long as its endpoint answers probes. */
  readonly toleratesSilence?: boolean;
}

/** Detects the silence of one stream. */
export class SilenceDetector {
  private timer: NodeJS.Timeout | undefined;
  private hasEvents = false;
  private lastEventAt = 0;
  private unansweredProbes = 0;
  /** Incremented with each event, to detect probes that are out of date. */
  private eventCount = 0;
  private isStopped = false;
  /** Whether the current timer checks for silence between events. */
  private isCheckPlanned = false;

  constructor(
    private readonly endpoint: EndpointRecord,
    private readonly prober: EndpointProber,
    private readonly targets: StreamTargets,
    private readonly clock: Clock,
    private readonly handleLost: (detail: string) => void,
  ) {}

  /** Starts to wait for the first event. */
  start(): void {
    this.plan(this.getLimits().firstProbeAfterMs, () =>
      this.probeBeforeFirst(),
    );
  }

  /** Records that events arrived. */
  recordEvents(): void {
    const now = this.clock.getNow();
    if (this.hasEvents) this.endpoint.recordGap(now - this.lastEventAt);
    this.lastEventAt = now;
    this.hasEvents = true;
    this.eventCount++;
    // A running timer is not reset; it checks the time of the last event when
    // it fires. A new timer for each event would be the largest cost of this
    // class.
    if (!this.isCheckPlanned) this.planCheck(this.getLimits().probeAfterMs);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private getLimits(): SilenceLimits {
    const {targetGapMs, targetLatencyMs} = this.targets;
    const {usualGapMs} = this.endpoint;
    return computeSilenceLimits({targetGapMs, targetLatencyMs, usualGapMs});
  }

  private plan(ms: number, callback: () => Promise<void>): void {
    clearTimeout(this.timer);
    if (this.isStopped) return;
    this.timer = setTimeout(() => void callback(), ms);
  }

  private planCheck(ms: number): void {
    this.plan(ms, () => this.checkSilence());
    this.isCheckPlanned = true;
  }

  /** Probes the endpoint, unless events arrived since the timer was set. */
  private async checkSilence(): Promise<void> {
    const dueAt = this.lastEventAt + this.getLimits().probeAfterMs;
    const leftMs = dueAt - this.clock.getNow();
    if (leftMs > 0) {
      this.planCheck(leftMs);
      return;
    }
    this.isCheckPlanned = false;
    await this.probeInStream();
  }

  private async probeBeforeFirst(): Promise<void> {
    const {probeTimeoutMs, probeIntervalMs} = this.getLimits();
    const isAnswering = await this.prober.probe(this.endpoint, probeTimeoutMs);
    if (this.hasEvents || this.isStopped) return;
    this.unansweredProbes = isAnswering ? 0 : this.unansweredProbes + 1;
    if (this.unansweredProbes >= MAX_UNANSWERED_PROBES) {
      this.handleLost('no answer before the first event');
      return;
    }
    const waitMs = isAnswering ? probeIntervalMs : 0;
    this.plan(waitMs, () => this.probeBeforeFirst());
  }

  private async probeInStream(): Promise<void> {
    const {eventCount} = this;
    const {probeAfterMs, probeTimeoutMs, lostAfterMs} = this.getLimits();
    const isAnswering = await this.prober.probe(this.endpoint, probeTimeoutMs);
    if (eventCount !== this.eventCount || this.isStopped) return;
    if (!isAnswering) {
      this.handleLost('silent, and no answer to a question');
      return;
    }
    if (this.targets.toleratesSilence === true) {
      this.plan(probeAfterMs, () => this.probeInStream());
      return;
    }
    this.plan(lostAfterMs - probeAfterMs, () => {
      this.handleLost('silent, though the endpoint answers');
      return Promise.resolve();
    });
  }
}
