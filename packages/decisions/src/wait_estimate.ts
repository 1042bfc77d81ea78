/**
 * Estimates how long a request would wait in a queue from the recent rate of
 * departures. A request that can't be served in time is refused at once, and
 * its caller is told when to retry.
 */

/** The weight of a new gap in the moving average. */
const GAP_WEIGHT = 0.1;
/**
 * Divides the pause since the last departure; if the quotient exceeds the mean
 * gap, it replaces it, as such a pause says more than the past rate.
 */
const PAUSE_FACTOR = 3;
/** Bounds of `Retry-After`, in seconds. */
const MIN_RETRY_SECONDS = 1;
const MAX_RETRY_SECONDS = 60;

/** Tracks the rate of departures from a queue while it isn't empty. */
export class WaitEstimate {
  private meanGapMs: number | undefined;
  private lastAt: number | undefined;

  /** Records that requests are waiting. */
  startBusy(nowMs: number): void {
    this.lastAt ??= nowMs;
  }

  /** Records that no request is waiting. */
  endBusy(): void {
    this.lastAt = undefined;
  }

  /** Records that a request left the queue to run. */
  recordDequeue(nowMs: number): void {
    if (this.lastAt === undefined) return;
    const gap = nowMs - this.lastAt;
    this.lastAt = nowMs;
    this.meanGapMs ??= gap;
    this.meanGapMs += GAP_WEIGHT * (gap - this.meanGapMs);
  }

  /**
   * Estimates the wait of the last of `waiting` requests, in milliseconds;
   * undefined before the first departure.
   */
  getWaitMs(waiting: number, nowMs: number): number | undefined {
    if (this.meanGapMs === undefined) return undefined;
    const pause = nowMs - (this.lastAt ?? nowMs);
    return waiting * Math.max(this.meanGapMs, pause / PAUSE_FACTOR);
  }
}

/**
 * Computes the value of `Retry-After`, in whole seconds, with jitter so that
 * refused callers don't all return at once.
 *
 * @param randomFraction A random number from 0 to 1.
 */
export function computeRetryAfterSeconds(
  waitMs: number,
  randomFraction: number,
): number {
  const seconds = Math.ceil((waitMs / 1000) * (1 + randomFraction / 2));
  if (!Number.isFinite(seconds)) return MAX_RETRY_SECONDS;
  return Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
}
