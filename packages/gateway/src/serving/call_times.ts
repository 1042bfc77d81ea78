/**
 * How long calls take, by route. A host that stops takes a call only if it can
 * likely answer it.
 */

/** The weight of the newest call in the moving averages. */
const CALL_WEIGHT = 1 / 8;
/** Mean deviations above the mean up to which a time is usual. */
const DEVIATIONS = 2;
/** How many routes are kept; the one that was added first is dropped. */
const MAX_ROUTES = 1024;

interface CallTime {
  mean: number;
  /** The mean absolute deviation. */
  deviation: number;
}

/** Moving statistics of the times of calls. */
export class CallTimes {
  private readonly times = new Map<string, CallTime>();

  /** Records how long a call of a route took. */
  record(route: string, ms: number): void {
    const time = this.times.get(route);
    if (time === undefined) {
      this.add(route, ms);
      return;
    }
    const difference = ms - time.mean;
    time.mean += CALL_WEIGHT * difference;
    time.deviation += CALL_WEIGHT * (Math.abs(difference) - time.deviation);
  }

  /** Gets how long calls of a route usually take, in ms; 0 if unknown. */
  getUsualMs(route: string): number {
    const time = this.times.get(route);
    return time === undefined ? 0 : time.mean + DEVIATIONS * time.deviation;
  }

  private add(route: string, ms: number): void {
    this.times.set(route, {mean: ms, deviation: 0});
    if (this.times.size <= MAX_ROUTES) return;
    const [oldest] = this.times.keys();
    if (oldest !== undefined) this.times.delete(oldest);
  }
}
