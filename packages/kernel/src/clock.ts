/**
 * Time, handed to whatever needs it so that tests can set it. Decisions never
 * read the machine's clock; they get `now` as an argument.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as setTimeoutPromise} from 'node:timers/promises';
import {HostStalls} from './host_stalls.js';

/** A source of time. */
export interface Clock {
  /**
   * Milliseconds on a monotonic clock, with fractions; times during which the
   * machine was suspended are in it once they are known.
   */
  getNow(): number;
  /** Milliseconds on the machine's steady clock, without suspensions. */
  getSteadyNow(): number;
  /** Takes it that the machine was suspended, in ms. */
  addSuspension(ms: number): void;
  /** Milliseconds since 1970 on the wall clock. */
  getWallNow(): number;
  /** Resolves after `ms`, or at once when `signal` is aborted. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
  /** Measures the stalls of this process until the result is called. */
  watchStalls(): () => void;
  /** Milliseconds that this process stood still while stalls were watched. */
  getStalledMs(): number;
}

/** The clocks of a machine at one moment, in ms. */
export interface ClockTimes {
  /** The monotonic clock, with the suspensions that are known. */
  readonly nowMs: number;
  /** The monotonic clock, which stands still during a suspension. */
  readonly steadyMs: number;
  /** The wall clock, which may be set. */
  readonly wallMs: number;
}

/** Reads all clocks. */
export function readClocks(
  clock: Pick<Clock, 'getNow' | 'getSteadyNow' | 'getWallNow'>,
): ClockTimes {
  return {
    nowMs: clock.getNow(),
    steadyMs: clock.getSteadyNow(),
    wallMs: clock.getWallNow(),
  };
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  private readonly stalls = new HostStalls();
  private suspendedMs = 0;

  getNow(): number {
    return this.getSteadyNow() + this.suspendedMs;
  }

  getSteadyNow(): number {
    return performance.now();
  }

  addSuspension(ms: number): void {
    this.suspendedMs += ms;
  }

  getWallNow(): number {
    return Date.now();
  }

  async wait(ms: number, signal?: AbortSignal): Promise<void> {
    try {
      await setTimeoutPromise(ms, undefined, signal ? {signal} : {});
    } catch {
      // An aborted wait ends early; the caller looks at the signal.
    }
  }
  watchStalls(): () => void {
    return this.stalls.watch();
  }

  getStalledMs(): number {
    return this.stalls.getStalledMs();
  }
}
