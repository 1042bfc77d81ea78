/**
 * Detects a stalled stream. After a time without events its endpoint is probed.
 * If the probe fails, or if no event arrives for longer still, the stream is
 * suspected: it is lost as soon as its answer can be continued elsewhere, and
 * is kept until then, as the endpoint may go on. Time in which this process
 * itself stood still does not count, nor does a probe that was under way then.
 */
import type {Clock} from '@irisdock/kernel';
import type {StallLimits} from '@irisdock/decisions';
import {MAX_TIMER_DELAY_MS, PauseWatch} from './pause_watch.js';

/** Why a stream without events was lost: the probe failed, or time ran out. */
export type StallKind = 'silent' | 'stalled';

/** The dependencies and callbacks of a detector. */
export interface StallDetectorParts {
  readonly clock: Clock;
  /** How long a suspected stream is kept, in ms. */
  readonly maxSilenceMs: number;
  /** Returns the current limits. */
  getLimits(): StallLimits;
  /** Probes the endpoint; resolves to true if it answers. */
  probe(): Promise<boolean>;
  /**
   * Leaves a suspected stream; false if its answer can't go on elsewhere.
   *
   * @param isSilent Whether no event has arrived meanwhile.
   */
  tryLeave(kind: StallKind, isSilent: () => boolean): Promise<boolean>;
  handleLoss(kind: StallKind): void;
  /** Called once per pause in the stream if the endpoint answers a probe. */
  handleQuiet(): void;
}

/** Detects stalls of one stream. */
export class StallDetector {
  private lastEventAt: number;
  private timer: NodeJS.Timeout | undefined;
  private paused = false;
  private stopped = false;
  /** Value of `lastEventAt` for which a quiet stream was last reported. */
  private quietReportedFor: number | undefined;

  constructor(private readonly parts: StallDetectorParts) {
    this.lastEventAt = parts.clock.getNow();
  }

  /**
   * Starts the detection.
   *
   * @param since From when on events are due.
   */
  start(since: number): void {
    this.lastEventAt = since;
    this.planCheck(this.parts.getLimits().probeMs);
  }

  /** Records an event; returns the time since the previous one, in ms. */
  markActive(): number {
    const now = this.parts.clock.getNow();
    const gap = now - this.lastEventAt;
    this.lastEventAt = now;
    return gap;
  }

  /** Stops counting time, while this side does not read the stream. */
  pause(): void {
    this.paused = true;
  }

  /** Counts time again from now on. */
  resume(): void {
    this.paused = false;
    this.markActive();
  }

  /** Stops the detection. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private planCheck(ms: number): void {
    if (this.stopped) return;
    const dueAt = this.parts.clock.getNow() + ms;
    this.timer = setTimeout(() => {
      void this.check(dueAt);
    }, ms);
  }

  private async check(dueAt: number): Promise<void> {
    const now = this.parts.clock.getNow();
    if (this.paused || now - dueAt > MAX_TIMER_DELAY_MS) this.lastEventAt = now;
    const {probeMs, lostMs} = this.parts.getLimits();
    const silenceMs = now - this.lastEventAt;
    if (silenceMs < probeMs) {
      this.planCheck(probeMs - silenceMs);
      return;
    }
    if (silenceMs >= lostMs) {
      await this.handleSuspicion('stalled');
      return;
    }
    const {lastEventAt} = this;
    const pauseWatch = new PauseWatch(this.parts.clock);
    const isAnswering = await this.parts.probe();
    if (pauseWatch.stop()) {
      this.markActive();
      this.planCheck(probeMs);
      return;
    }
    const isStillSilent =
      !this.stopped && this.lastEventAt === lastEventAt && !this.paused;
    if (isStillSilent && isAnswering) this.reportQuiet();
    if (!isAnswering && isStillSilent) await this.handleSuspicion('silent');
    else this.planCheck(Math.min(probeMs, Math.max(1, lostMs - silenceMs)));
  }

  private reportQuiet(): void {
    if (this.stopped || this.quietReportedFor === this.lastEventAt) return;
    this.quietReportedFor = this.lastEventAt;
    this.parts.handleQuiet();
  }

  private async handleSuspicion(kind: StallKind): Promise<void> {
    const {clock, maxSilenceMs} = this.parts;
    const {lastEventAt} = this;
    const isSilent = (): boolean =>
      !this.stopped && !this.paused && this.lastEventAt === lastEventAt;
    const isLeft = await this.parts.tryLeave(kind, isSilent);
    if (this.stopped) return;
    const isTooLong = clock.getNow() - this.lastEventAt >= maxSilenceMs;
    if (!isLeft && !isTooLong) {
      this.planCheck(this.parts.getLimits().probeMs);
      return;
    }
    this.stop();
    this.parts.handleLoss(kind);
  }
}
