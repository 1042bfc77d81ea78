/**
 * A retry budget that limits retries to a fraction of the requests, so that
 * failures don't multiply the load. Each first attempt earns a fraction of a
 * retry; a minimum rate lets a host with few requests retry too.
 */

/** The parameters of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly retriesPerRequest: number;
  /** The most retries that accumulate. */
  readonly maxRetries: number;
  /** Retries per second that are earned without requests. */
  readonly minRetriesPerSecond: number;
}

/** The default parameters. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  retriesPerRequest: 0.2,
  maxRetries: 100,
  minRetriesPerSecond: 2,
};

/** A retry budget; it starts at a tenth of its maximum. */
export class RetryBudget {
  private available: number;
  private filledAt: number | undefined;

  constructor(private readonly options: RetryBudgetOptions) {
    this.available = options.maxRetries / 10;
  }

  /** Counts the first attempt of a request. */
  addFirstAttempt(): void {
    this.keep(this.options.retriesPerRequest);
  }

  /** Takes one retry; false when none is left. */
  takeRetry(nowMs: number): boolean {
    this.addElapsed(nowMs);
    if (this.available < 1) return false;
    this.available--;
    return true;
  }

  private addElapsed(nowMs: number): void {
    const elapsed = nowMs - (this.filledAt ?? nowMs);
    this.filledAt = nowMs;
    this.keep((elapsed / 1000) * this.options.minRetriesPerSecond);
  }

  private keep(more: number): void {
    this.available = Math.min(this.options.maxRetries, this.available + more);
  }
}
