/**
 * Notices whether this process stood still while something was awaited. After a
 * pause its timers run before its sockets are read, so that a time limit is
 * over although the answer has arrived.
 */
import type {Clock} from '@irisdock/kernel';

/** A timer that fires later than this means that this process was paused. */
export const MAX_TIMER_DELAY_MS = 100;
const TICK_MS = 20;

/** Watches this process for pauses, from its creation until it is stopped. */
export class PauseWatch {
  private lastTickAt: number;
  private wasPaused = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock) {
    this.lastTickAt = clock.getNow();
    this.timer = setInterval(() => {
      this.recordTick();
    }, TICK_MS);
    this.timer.unref();
  }

  /** Stops; returns whether this process was paused meanwhile. */
  stop(): boolean {
    this.recordTick();
    clearInterval(this.timer);
    return this.wasPaused;
  }

  private recordTick(): void {
    const now = this.clock.getNow();
    if (now - this.lastTickAt > TICK_MS + MAX_TIMER_DELAY_MS) {
      this.wasPaused = true;
    }
    this.lastTickAt = now;
  }
}
