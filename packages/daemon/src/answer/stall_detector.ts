/**
 * Watches one stream for silence: after a while its endpoint is asked whether
 * it answers; if it does not, or if the silence lasts, the stream is lost.
 */
import type {Clock} from '@irisdock/kernel';
import type {StallLimits} from '@irisdock/decisions';

/** How a silent stream was lost. */
export type StallKind = 'silent' | 'stalled';

/** What a watch asks and tells. */
export interface StallDetectorParts {
  readonly clock: Clock;
  /** The limits as they are now. */
  getLimits(): StallLimits;
  /** Asks the endpoint; true when it answers. */
  probe(): Promise<boolean>;
  handleLoss(kind: StallKind): void;
  /** Called once for a silence in which the endpoint answers. */
  handleQuiet(): void;
}

// A timer that fires this late says that this process stood still itself.
const LATE_MS = 100;

/** Watches one stream. */
export class StallDetector {
  private lastAt: number;
  private timer: NodeJS.Timeout | undefined;
  private paused = false;
  private stopped = false;
  /** The silence that was told of, by its beginning. */
  private quietSince: number | undefined;

  constructor(private readonly parts: StallDetectorParts) {
    this.lastAt = parts.clock.getNow();
  }

  /** Starts to watch. */
  start(): void {
    this.markActive();
    this.plan(this.parts.getLimits().probeMs);
  }

  /** Notes that something came; gives the silence before it, in ms. */
  markActive(): number {
    const now = this.parts.clock.getNow();
    const gap = now - this.lastAt;
    this.lastAt = now;
    return gap;
  }

  /** Does not count silence while this side does not read. */
  pause(): void {
    this.paused = true;
  }

  /** Counts silence again. */
  resume(): void {
    this.paused = false;
    this.markActive();
  }

  /** Watches no more. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private plan(ms: number): void {
    if (this.stopped) return;
    const dueAt = this.parts.clock.getNow() + ms;
    this.timer = setTimeout(() => {
      void this.check(dueAt);
    }, ms);
  }

  private async check(dueAt: number): Promise<void> {
    const now = this.parts.clock.getNow();
    if (this.paused || now - dueAt > LATE_MS) this.lastAt = now;
    const {probeMs, lostMs} = this.parts.getLimits();
    const silence = now - this.lastAt;
    if (silence < probeMs) {
      this.plan(probeMs - silence);
      return;
    }
    if (silence >= lostMs) {
      this.reportLoss('stalled');
      return;
    }
    const {lastAt} = this;
    const answers = await this.parts.probe();
    const stillSilent = this.lastAt === lastAt && !this.paused;
    if (stillSilent && answers) this.reportQuiet();
    if (!answers && stillSilent) this.reportLoss('silent');
    else this.plan(Math.min(probeMs, Math.max(1, lostMs - silence)));
  }

  private reportQuiet(): void {
    if (this.stopped || this.quietSince === this.lastAt) return;
    this.quietSince = this.lastAt;
    this.parts.handleQuiet();
  }

  private reportLoss(kind: StallKind): void {
    if (this.stopped) return;
    this.stop();
    this.parts.handleLoss(kind);
  }
}
