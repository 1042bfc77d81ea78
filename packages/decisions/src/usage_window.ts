/**
 * The windows of usage reports, and the time by which requests are assigned to
 * them. Windows are numbered from the start of 1970 in true time. Wall clocks
 * of hosts step by seconds, so a host takes its monotonic clock plus the median
 * of the recent differences between both clocks: a step that lasts for less
 * than half of the samples does not move its windows. A host that collects the
 * counts of others takes the median of their times and its own, so that it does
 * not finalize windows early when its own clock is wrong for longer.
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

/** Medians of the times of all hosts, at one a second. */
const MAX_HOST_SAMPLES = 15;
/**
 * How long the least delayed time of a host is preferred to later ones, in ms:
 * delays on the way only make a host look behind.
 */
const PREFERRED_HOST_TIME_MS = 15_000;
/** The age at which the time of another host is forgotten, in ms. */
const MAX_HOST_TIME_AGE_MS = 60_000;

/** Estimates true time from the wall clock and the monotonic clock. */
export class ClockFilter {
  /** Differences between wall and monotonic clock in ms, oldest first. */
  private readonly offsets: number[] = [];
  private offsetMs = 0;

  /** Takes the readings of both clocks, in ms; called once a second. */
  addSample(wallMs: number, monotonicMs: number): void {
    this.offsets.push(wallMs - monotonicMs);
    if (this.offsets.length > MAX_CLOCK_SAMPLES) this.offsets.shift();
    this.offsetMs = computeMedian(this.offsets);
  }

  /** Converts a reading of the monotonic clock to ms since 1970. */
  getTime(monotonicMs: number): number {
    return monotonicMs + this.offsetMs;
  }
}

/**
 * Combines the time of this host with the times that other hosts report. Times
 * that arrive late, as after a suspension of this host, look as if these hosts
 * were behind: the caller leaves those out of which it knows, the least delayed
 * time of some seconds counts, and the median of several seconds leaves out those
 * that were followed by others.
 */
export class HostTimes {
  /** By how much the time of a host is ahead of the monotonic clock, in ms. */
  private readonly offsets = new Map<string, {ms: number; at: number}>();
  private readonly medians: number[] = [];
  private offsetMs = 0;

  /** Takes the time of another host on arrival, in ms since 1970. */
  accept(host: string, hostTimeMs: number, monotonicMs: number): void {
    const ms = hostTimeMs - monotonicMs;
    const known = this.offsets.get(host);
    const isPreferred =
      known !== undefined &&
      known.ms > ms &&
      monotonicMs - known.at <= PREFERRED_HOST_TIME_MS;
    if (!isPreferred) this.offsets.set(host, {ms, at: monotonicMs});
  }

  /** Takes the time of this host, in ms since 1970; called once a second. */
  addSample(ownTimeMs: number, monotonicMs: number): void {
    const recent = [ownTimeMs - monotonicMs];
    for (const [host, {ms, at}] of this.offsets) {
      const isOld = monotonicMs - at > MAX_HOST_TIME_AGE_MS;
      if (isOld) this.offsets.delete(host);
      else recent.push(ms);
    }
    this.medians.push(computeMedian(recent));
    if (this.medians.length > MAX_HOST_SAMPLES) this.medians.shift();
    this.offsetMs = computeMedian(this.medians);
  }

  /** Converts a reading of the monotonic clock to ms since 1970. */
  getTime(monotonicMs: number): number {
    return monotonicMs + this.offsetMs;
  }
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
