/**
 * Timers for the silence of a peer. They leave out the time during which this
 * process stood still, and they fire after the sockets have been read: of the
 * event loop's phases that of timers comes first, so a timer that is due after
 * a stall would otherwise fire before answers that arrived in time.
 */
import {getRunningNow, type Clock} from './clock.js';

/** What the timers need of a clock. */
export type RunningClock = Pick<
  Clock,
  'getStalledMs' | 'getSteadyNow' | 'watchStalls'
>;

/** Calls back once, after a time during which this process ran. */
export class RunningTimer {
  private timer: NodeJS.Timeout | undefined;
  private turn: NodeJS.Immediate | undefined;
  private readonly stopWatching: () => void;
  private readonly dueAt: number;

  /** @param ms The time until `handleDue` is called, in ms. */
  constructor(
    private readonly clock: RunningClock,
    ms: number,
    private readonly handleDue: () => void,
  ) {
    this.stopWatching = clock.watchStalls();
    this.dueAt = getRunningNow(clock) + ms;
    this.plan(ms);
  }

  /** Cancels the call. */
  close(): void {
    clearTimeout(this.timer);
    clearImmediate(this.turn);
    this.stopWatching();
  }

  private plan(ms: number): void {
    this.timer = setTimeout(() => {
      // Immediates run after the sockets have been read.
      this.turn = setImmediate(() => {
        this.check();
      });
    }, ms);
  }

  private check(): void {
    const leftMs = this.dueAt - getRunningNow(this.clock);
    if (leftMs > 0) {
      this.plan(leftMs);
      return;
    }
    this.close();
    this.handleDue();
  }
}

/** Aborts a signal after a time during which this process ran. */
export class RunningTimeout {
  private readonly controller = new AbortController();
  private readonly timer: RunningTimer;

  /** @param ms The time until the signal is aborted, in ms. */
  constructor(clock: RunningClock, ms: number) {
    this.timer = new RunningTimer(clock, ms, () => {
      this.controller.abort();
    });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Cancels the timeout. */
  close(): void {
    this.timer.close();
  }
}
