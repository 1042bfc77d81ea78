/**
 * Time, handed to whatever needs it so that tests can set it. Decisions never
 * read the machine's clock; they get `now` as an argument.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as setTimeoutPromise} from 'node:timers/promises';

/** A source of time. */
export interface Clock {
  /** Milliseconds on a monotonic clock, with fractions. */
  getNow(): number;
  /** Milliseconds since 1970 on the wall clock. */
  getWallNow(): number;
  /** Resolves after `ms`, or at once when `signal` is aborted. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  getNow(): number {
    return performance.now();
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
}
