/**
 * A budget that keeps retries to a part of the first tries, so that failures
 * do not multiply load. Each first try earns a part of a retry; a floor lets
 * a quiet host retry too.
 */

/** How much is earned, kept and given. */
export interface RetryBudgetOptions {
  /** Retries earned by one first try. */
  readonly earnedPerTry: number;
  /** The most that is kept. */
  readonly most: number;
  /** Retries a second that are given in any case. */
  readonly floorPerSecond: number;
}

/** The budget unless settings say otherwise. */
export const RETRY_BUDGET: RetryBudgetOptions = {
  earnedPerTry: 0.2,
  most: 100,
  floorPerSecond: 2,
};

/** A budget of retries. */
export class RetryBudget {
  private kept: number;
  private filledAt: number | undefined;

  constructor(private readonly options: RetryBudgetOptions) {
    this.kept = options.most / 10;
  }

  /** Counts a first try. */
  addTry(): void {
    this.keep(this.options.earnedPerTry);
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
    this.keep((elapsed / 1000) * this.options.floorPerSecond);
  }

  private keep(more: number): void {
    this.kept = Math.min(this.options.most, this.kept + more);
  }
}
