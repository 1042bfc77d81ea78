/**
 * How many repeated sends a service may get in a window, kept by one host as
 * its share of what all hosts may do together: a part of the requests that
 * this host took for the service, and an equal part of the fixed allowance.
 * Every window of the given length counts, so sends are kept for two windows
 * and looked at over the last one.
 */

/** The bounds of a budget over all hosts together. */
export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Repeated sends for each request. */
  readonly ratio: number;
  /** Repeated sends in a window whatever the requests, for all hosts. */
  readonly allowance: number;
  /** The part of both that is used, to stay clear of the bound. */
  readonly usedFraction: number;
}

/** One host's share of a budget of repeated sends. */
export class WindowedRetryBudget {
  private readonly requests: number[] = [];
  private readonly repeats: number[] = [];

  constructor(private options: WindowedRetryBudgetOptions) {}

  /** Takes other bounds; what was counted so far stays. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
  }

  /** Counts a request that arrived. */
  addRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.dropOld(nowMs);
  }

  /** Takes one repeated send; false when the share is used up. */
  takeRetry(nowMs: number, hosts: number): boolean {
    this.dropOld(nowMs);
    const {ratio, allowance, usedFraction: usedPart} = this.options;
    const share = allowance / Math.max(1, hosts);
    const most = usedPart * (ratio * this.requests.length + share);
    if (this.repeats.length + 1 > most) return false;
    this.repeats.push(nowMs);
    return true;
  }

  private dropOld(nowMs: number): void {
    const from = nowMs - this.options.windowMs;
    for (const times of [this.requests, this.repeats]) {
      let old = 0;
      while (old < times.length && (times[old] ?? 0) < from) old++;
      if (old > 0) times.splice(0, old);
    }
  }
}
