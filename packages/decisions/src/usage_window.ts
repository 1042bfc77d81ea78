/**
 * The windows of usage reports, and the time by which requests are assigned to
 * them. Windows are numbered from the start of 1970 in true time. Wall clocks
 * of hosts step by seconds, so a host takes its monotonic clock plus the median
 * of the recent differences between both clocks: a step that lasts for less
 * than half of the samples does not move its windows.
 */

/** Samples of the last minute, at one a second. */
const MAX_CLOCK_SAMPLES = 60;

/** Computes the number of the window that contains a time, in ms since 1970. */
export function computeWindow(timeMs: number, windowMs: number): number {
  return Math.floor(timeMs / windowMs);
}

/** Computes the end of a window (exclusive), in ms since 1970. */
export function computeWindowEnd(window: number, windowMs: number): number {
  return (window + 1) * windowMs;
}

/** Estimates true time from the wall clock and the monotonic clock. */
export class ClockFilter {
  /** Differences between wall and monotonic clock in ms, oldest first. */
  private readonly offsets: number[] = [];
  private offsetMs = 0;

  /** Takes the readings of both clocks, in ms; called once a second. */
  addSample(wallMs: number, monotonicMs: number): void {
    this.offsets.push(wallMs - monotonicMs);
    if (this.offsets.length > MAX_CLOCK_SAMPLES) this.offsets.shift();
    const sorted = [...this.offsets].sort((a, b) => a - b);
    this.offsetMs = sorted[(sorted.length - 1) >> 1] ?? 0;
  }

  /** Converts a reading of the monotonic clock to ms since 1970. */
  getTime(monotonicMs: number): number {
    return monotonicMs + this.offsetMs;
  }
}
