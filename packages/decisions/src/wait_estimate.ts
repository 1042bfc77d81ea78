/**
 * How long a request would wait, from how fast the queue has been emptied.
 * It is what lets a request that cannot be served in time be refused at once
 * and the caller be told when to come back.
 */

const GAP_WEIGHT = 0.1;
// A pause a few times as long as usual says more than the past does.
const PAUSE_FACTOR = 3;
const MIN_RETRY_SECONDS = 1;
const MAX_RETRY_SECONDS = 60;

/** The pace at which a queue is emptied, while it is not empty. */
export class WaitEstimate {
  private meanGapMs: number | undefined;
  private lastAt: number | undefined;

  /** Notes that requests wait. */
  startBusy(nowMs: number): void {
    this.lastAt ??= nowMs;
  }

  /** Notes that no request waits. */
  endBusy(): void {
    this.lastAt = undefined;
  }

  /** Counts a request that left the queue to run. */
  recordDequeue(nowMs: number): void {
    if (this.lastAt === undefined) return;
    const gap = nowMs - this.lastAt;
    this.lastAt = nowMs;
    this.meanGapMs ??= gap;
    this.meanGapMs += GAP_WEIGHT * (gap - this.meanGapMs);
  }

  /**
   * Estimates the wait of the last of so many requests, in milliseconds;
   * undefined while nothing is known.
   */
  getWaitMs(waiting: number, nowMs: number): number | undefined {
    if (this.meanGapMs === undefined) return undefined;
    const pause = nowMs - (this.lastAt ?? nowMs);
    return waiting * Math.max(this.meanGapMs, pause / PAUSE_FACTOR);
  }
}

/**
 * Gives the whole seconds after which to come back, with a spread so that
 * refused callers do not all come back at once.
 *
 * @param spread A random part from 0 to 1.
 */
export function computeRetryAfterSeconds(
  waitMs: number,
  spread: number,
): number {
  const seconds = Math.ceil((waitMs / 1000) * (1 + spread / 2));
  if (!Number.isFinite(seconds)) return MAX_RETRY_SECONDS;
  return Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
}
