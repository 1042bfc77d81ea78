/**
 * Timers for the silence of a peer. They leave out the time during which this
 * process stood still, and they fire after the sockets have been read: of the
 * event loop's phases that of timers comes first, so a timer that is due after
 * a stall would otherwise fire before answers that arrived in time.
 */
import type {Clock} from './clock.js';

/** What the timers need of a clock. */
export type RunningClock = Pick<
  Clock,
  'getStalledMs' | 'getSteadyNow' | 'watchStalls'
>;

/**
 * The most that counts as stalls, as a part of the time that has passed. A host
 * that always lacks a processor has to judge its peers as well.
 */
const MAX_STALLED_FRACTION = 0.5;

/** Measures how long this process ran. */
export class RunningStopwatch {
  private startedAt = 0;
  private stalledBeforeMs = 0;

  constructor(
    private readonly clock: Pick<Clock, 'getStalledMs' | 'getSteadyNow'>,
  ) {
    this.start();
  }

  /** Measures from now on. */
  start(): void {
    this.startedAt = this.clock.getSteadyNow();
    this.stalledBeforeMs = this.clock.getStalledMs();
  }

  /** Returns how long this process stood still, in ms. */
  getStalledMs(): number {
    return this.clock.getStalledMs() - this.stalledBeforeMs;
  }

  /** Returns how long it ran, in ms. */
  getElapsedMs(): number {
    const passedMs = this.clock.getSteadyNow() - this.startedAt;
    const mostMs = MAX_STALLED_FRACTION * passedMs;
    return passedMs - Math.min(this.getStalledMs(), mostMs);
  }
}

/** Calls back once, after a time during which this process ran. */
export class RunningTimer {
  private timer: NodeJS.Timeout | undefined;
  private turn: NodeJS.Immediate | undefined;
  private readonly stopWatching: () => void;
  private readonly stopwatch: RunningStopwatch;

  /** @param ms The time until `handleDue` is called, in ms. */
  constructor(
    clock: RunningClock,
    private readonly ms: number,
    private readonly handleDue: () => void,
  ) {
    this.stopWatching = clock.watchStalls();
    this.stopwatch = new RunningStopwatch(clock);
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
    const leftMs = this.ms - this.stopwatch.getElapsedMs();
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
