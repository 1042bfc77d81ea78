/**
 * Watches for the silence of one stream. After a short silence the endpoint
 * is asked whether it answers at all: one that does not is lost at once, one
 * that does gets longer. Before the first event there is only the question,
 * asked again and again, as prompts may take long to read. How long each of
 * it takes follows from the aims of the stream's route (silence_limits.ts).
 */
import {computeSilenceLimits, type SilenceLimits} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';

/** Unanswered questions before the first event that make a loss. */
const MAX_UNANSWERED = 2;

/** What a stream's route aims at, in ms. */
export interface StreamTargets {
  readonly targetGapMs?: number | undefined;
  readonly targetLatencyMs: number;
}

/** Watches one stream. */
export class SilenceDetector {
  private timer: NodeJS.Timeout | undefined;
  private hasEvents = false;
  private eventAt = 0;
  private unanswered = 0;
  /** Changes with each event, so that old answers are told apart. */
  private round = 0;
  private stopped = false;
  /** Whether the timer that is set checks for silence between events. */
  private isChecking = false;

  constructor(
    private readonly endpoint: EndpointRecord,
    private readonly prober: EndpointProber,
    private readonly aims: StreamTargets,
    private readonly clock: Clock,
    private readonly handleLost: (detail: string) => void,
  ) {}

  /** Starts with the wait for the first event. */
  start(): void {
    this.plan(this.getLimits().firstProbeAfterMs, () =>
      this.probeBeforeFirst(),
    );
  }

  /** Takes it that events arrived. */
  recordEvents(): void {
    const now = this.clock.getNow();
    if (this.hasEvents) this.endpoint.recordGap(now - this.eventAt);
    this.eventAt = now;
    this.hasEvents = true;
    this.round++;
    // The timer that runs is left as it is, and checks the last event when it
    // fires: a timer an event would cost more than all else here.
    if (!this.isChecking) this.planCheck(this.getLimits().probeAfterMs);
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private getLimits(): SilenceLimits {
    const {targetGapMs, targetLatencyMs} = this.aims;
    const {usualGapMs} = this.endpoint;
    return computeSilenceLimits({targetGapMs, targetLatencyMs, usualGapMs});
  }

  private plan(ms: number, step: () => Promise<void>): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    this.timer = setTimeout(() => void step(), ms);
  }

  private planCheck(ms: number): void {
    this.plan(ms, () => this.checkSilence());
    this.isChecking = true;
  }

  /** Asks the endpoint, unless events came since the timer was set. */
  private async checkSilence(): Promise<void> {
    const dueAt = this.eventAt + this.getLimits().probeAfterMs;
    const leftMs = dueAt - this.clock.getNow();
    if (leftMs > 0) {
      this.planCheck(leftMs);
      return;
    }
    this.isChecking = false;
    await this.probeInStream();
  }

  private async probeBeforeFirst(): Promise<void> {
    const {probeTimeoutMs: answerMs, probeIntervalMs: askEveryMs} =
      this.getLimits();
    const answers = await this.prober.probe(this.endpoint, answerMs);
    if (this.hasEvents || this.stopped) return;
    this.unanswered = answers ? 0 : this.unanswered + 1;
    if (this.unanswered >= MAX_UNANSWERED) {
      this.handleLost('no answer before the first event');
      return;
    }
    const waitMs = answers ? askEveryMs : 0;
    this.plan(waitMs, () => this.probeBeforeFirst());
  }

  private async probeInStream(): Promise<void> {
    const {round} = this;
    const {
      probeAfterMs: askAfterMs,
      probeTimeoutMs: answerMs,
      lostAfterMs,
    } = this.getLimits();
    const answers = await this.prober.probe(this.endpoint, answerMs);
    if (round !== this.round || this.stopped) return;
    if (!answers) {
      this.handleLost('silent, and no answer to a question');
      return;
    }
    this.plan(lostAfterMs - askAfterMs, () => {
      this.handleLost('silent, though the endpoint answers');
      return Promise.resolve();
    });
  }
}
