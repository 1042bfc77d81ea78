/** The retry budgets of services. */
import {
  WindowedRetryBudget,
  type WindowedRetryBudgetOptions,
} from '@irisdock/decisions';

/** Keeps one retry budget per service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  /**
   * @param countHosts Returns the number of hosts that share each budget; less
   *     on a host that carries more than others, more on a smaller one.
   */
  constructor(
    private options: WindowedRetryBudgetOptions,
    private readonly countHosts: () => number,
    private readonly getNow: () => number,
  ) {}

  /** Replaces the bounds; earlier requests and retries count against them. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.setBounds(options);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.getBudget(service).addRequest(this.getNow());
  }

  /** Whether a retry is left of this host's share of the budget. */
  hasRetry(service: string): boolean {
    const hosts = this.countHosts();
    return this.getBudget(service).hasRetry(this.getNow(), hosts);
  }

  /** Takes one retry; false when this host's share of the budget is used up. */
  takeRetry(service: string): boolean {
    const hosts = this.countHosts();
    return this.getBudget(service).takeRetry(this.getNow(), hosts);
  }

  private getBudget(service: string): WindowedRetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new WindowedRetryBudget(this.options);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
