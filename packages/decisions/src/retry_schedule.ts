/**
 * Schedules the retries of requests that were refused because a rate limit was
 * used up: each after those refused before it, at the rate of the limit. Thus
 * callers return one by one and in order, not all at the next permit.
 */

/** The longest retry delay, in ms; few callers have more time left. */
const MAX_DELAY_MS = 10_000;
const MILLI = 1000;

/** The scheduled retries for one endpoint. */
export class RetrySchedule {
  private lastAt = -Infinity;

  /** Appends a number of refused requests to the schedule. */
  add(count: number, perSecond: number, now: number): void {
    const from = Math.max(now, this.lastAt);
    const lastAt = from + (count * MILLI) / perSecond;
    this.lastAt = Math.min(now + MAX_DELAY_MS, lastAt);
  }

  /** Computes the delay until the last scheduled retry, in ms. */
  computeLastDelayMs(now: number): number {
    return Math.max(0, this.lastAt - now);
  }
}
