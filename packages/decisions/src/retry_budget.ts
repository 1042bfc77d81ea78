/**
 * A budget that keeps retries to a part of the first tries, so that failures
 * do not multiply load. Each first try earns a part of a retry; a floor lets
 * a quiet host retry too.
 */

/** How much is earned, kept and given. */
export interface RetryBudgetOptions {
  /** Retries earned by one first try. */
  readonly retriesPerRequest: number;
  /** The most that is kept. */
  readonly maxRetries: number;
  /** Retries a second that are given in any case. */
  readonly minRetriesPerSecond: number;
}

/** The budget unless settings say otherwise. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  retriesPerRequest: 0.2,
  maxRetries: 100,
  minRetriesPerSecond: 2,
};

/** A budget of retries. */
export class RetryBudget {
  private kept: number;
  private filledAt: number | undefined;

  constructor(private readonly options: RetryBudgetOptions) {
    this.kept = options.maxRetries / 10;
  }

  /** Counts a first try. */
  addFirstAttempt(): void {
    this.keep(this.options.retriesPerRequest);
  }

  /** Takes one retry; false when none is left. */
  takeRetry(nowMs: number): boolean {
    this.addElapsed(nowMs);
    if (this.kept < 1) return false;
    this.kept--;
    return true;
  }

  private addElapsed(nowMs: number): void {
    const elapsed = nowMs - (this.filledAt ?? nowMs);
    this.filledAt = nowMs;
    this.keep((elapsed / 1000) * this.options.minRetriesPerSecond);
  }

  private keep(more: number): void {
    this.kept = Math.min(this.options.maxRetries, this.kept + more);
  }
}
