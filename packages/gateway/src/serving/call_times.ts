/**
 * How long the last calls of each route took. A host that stops takes a call
 * only if all of them would have ended in the time that is left: a mean hides
 * the few slow ones, and a call that has been cut may not be repeated.
 */

/** How many calls of a route are remembered. */
const MAX_CALLS = 256;
/** How many routes are kept; the one that was added first is dropped. */
const MAX_ROUTES = 1024;

/** The times of the last calls of a route, in ms. */
class RecentTimes {
  private readonly times: number[] = [];
  /** The place of the oldest time once there are enough. */
  private next = 0;

  add(ms: number): void {
    this.times[this.next] = ms;
    this.next = (this.next + 1) % MAX_CALLS;
  }

  getLongest(): number {
    return Math.max(...this.times);
  }
}

/** The times of calls, by route. */
export class CallTimes {
  private readonly routes = new Map<string, RecentTimes>();

  /** Records how long a call of a route took. */
  record(route: string, ms: number): void {
    const times = this.routes.get(route) ?? this.add(route);
    times.add(ms);
  }

  /** Gets how long the longest of the last calls took, in ms; 0 if unknown. */
  getLongestMs(route: string): number {
    return this.routes.get(route)?.getLongest() ?? 0;
  }

  private add(route: string): RecentTimes {
    const times = new RecentTimes();
    this.routes.set(route, times);
    const [oldest] = this.routes.keys();
    if (this.routes.size > MAX_ROUTES && oldest !== undefined) {
      this.routes.delete(oldest);
    }
    return times;
  }
}
