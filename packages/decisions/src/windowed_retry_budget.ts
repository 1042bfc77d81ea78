/**
 * Limits the retries of a service in a sliding window. Each host enforces its
 * share of the budget of all hosts: a ratio of the requests that it received
 * for the service, plus an equal share of the fixed allowance.
 */

/** The budget of all hosts together. */
export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries per request in the window. */
  readonly ratio: number;
  /** Further retries per window, regardless of requests, for all hosts. */
  readonly allowance: number;
  /** The fraction of both that is used, as a safety margin. */
  readonly usedFraction: number;
}

/** One host's share of a retry budget. */
export class WindowedRetryBudget {
  private readonly requests: number[] = [];
  private readonly retries: number[] = [];

  constructor(private options: WindowedRetryBudgetOptions) {}

  /** Changes the bounds; counted requests and retries remain. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
  }

  /** Counts a received request. */
  addRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.dropOld(nowMs);
  }

  /** Whether a retry is left of this host's share. */
  hasRetry(nowMs: number, hosts: number): boolean {
    this.dropOld(nowMs);
    const {ratio, allowance, usedFraction} = this.options;
    const share = allowance / Math.max(1, hosts);
    const max = usedFraction * (ratio * this.requests.length + share);
    return this.retries.length + 1 <= max;
  }

  /** Takes one retry; false when this host's share is used up. */
  takeRetry(nowMs: number, hosts: number): boolean {
    if (!this.hasRetry(nowMs, hosts)) return false;
    this.retries.push(nowMs);
    return true;
  }

  private dropOld(nowMs: number): void {
    const from = nowMs - this.options.windowMs;
    for (const times of [this.requests, this.retries]) {
      let old = 0;
      while (old < times.length && (times[old] ?? 0) < from) old++;
      if (old > 0) times.splice(0, old);
    }
  }
}
