/**
 * When a request that found a limit used up may come back: after those that were
 * refused before it, one by one at the rate of the limit, so that callers return
 * spread and in order in place of all at the next permit.
 */

/** The longest time that a caller is told, in ms; few have more left. */
const MOST_RETURN_MS = 10_000;
const MILLI = 1000;

/** Counts who was told to come back to one endpoint. */
export class RetrySchedule {
  private lastAt = -Infinity;

  /** Takes it that callers were told to come back. */
  add(count: number, perSecond: number, now: number): void {
    const from = Math.max(now, this.lastAt);
    const lastAt = from + (count * MILLI) / perSecond;
    this.lastAt = Math.min(now + MOST_RETURN_MS, lastAt);
  }

  /** Gives when the last of them is back, in ms from now. */
  computeLastDelayMs(now: number): number {
    return Math.max(0, this.lastAt - now);
  }
}
