/** The budgets of repeated sends, one a service. */
import {
  WindowedRetryBudget,
  type WindowedRetryBudgetOptions,
} from '@irisdock/decisions';

/** The budgets. */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  /** @param countHosts Gives the hosts that share each budget. */
  constructor(
    private options: WindowedRetryBudgetOptions,
    private readonly countHosts: () => number,
    private readonly getNow: () => number,
  ) {}

  /** Takes other bounds; what was sent so far counts against them. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.setBounds(options);
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.getBudget(service).addRequest(this.getNow());
  }

  /** Takes one repeated send; false when this host's share is used up. */
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
