/** The retry budgets of services. */
import {
  WindowedRetryBudget,
  type WindowedRetryBudgetOptions,
} from '@irisdock/decisions';

/** Gets parts of retries from other hosts. */
export interface RetryLender {
  /** Borrows what is missing for one retry, which may fail. */
  acquire(service: string): Promise<void>;
}

/** Tells how much of the budgets hosts used before this one started. */
export interface RetryUse {
  /**
   * Whether lost hosts may have used most of a budget in the current window.
   */
  isUncertain(service: string): boolean;
  /** Reads what lost hosts used, unless that is done or was tried just now. */
  startLoading(): void;
  /** Does so, and waits for it for a bounded time. */
  load(): Promise<void>;
  /** Saves that this host uses more than one that is uncertain may. */
  save(service: string): void;
  /** Ends it without waiting for calls to the store. */
  stop(): void;
}

/** How a send ended that may be retried. */
interface SendEnd {
  readonly kind: string;
  /** Whether the endpoint may have seen a lost send. */
  readonly mayHaveRun?: boolean;
}

/** Whether retries count whose first send reached no endpoint. */
export type UnreachableRetries = 'counted' | 'free';

/** Keeps one retry budget per service. */
export class RetryBudgets {
  /** Set where hosts lend each other what is left of their budgets. */
  lender: RetryLender | undefined;
  /** Set where what hosts use outlives them. */
  use: RetryUse | undefined;
  private readonly budgets = new Map<string, WindowedRetryBudget>();

  /**
   * @param countHosts Returns the number of hosts that share each budget; less
   *     on a host that carries more than others, more on a smaller one.
   */
  constructor(
    private options: WindowedRetryBudgetOptions,
    private readonly countHosts: () => number,
    private readonly getNow: () => number,
    private readonly unreachableRetries: UnreachableRetries = 'counted',
  ) {}

  /** Replaces the bounds; earlier requests and retries count against them. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
    for (const budget of this.budgets.values()) budget.setBounds(options);
  }

  /** The window in which retries are counted, in ms. */
  get windowMs(): number {
    return this.options.windowMs;
  }

  /** Counts a request for a service. */
  recordRequest(service: string): void {
    this.getBudget(service).addRequest(this.getNow());
    // Streams that need a retry at the same moment cannot all wait for it.
    if (this.use?.isUncertain(service) === true) this.use.startLoading();
  }

  /** Whether a retry is left of this host's share of the budget. */
  hasRetry(service: string): boolean {
    const hosts = this.countHosts();
    return this.getBudget(service).hasRetry(this.getNow(), hosts);
  }

  /** Takes one retry; false when this host's share of the budget is used up. */
  takeRetry(service: string): boolean {
    const hosts = this.countHosts();
    const isTaken = this.getBudget(service).takeRetry(this.getNow(), hosts);
    if (isTaken) this.saveUse(service);
    return isTaken;
  }

  /**
   * Whether a retry after a send counts against the budget. A send whose
   * connection never opened has reached no endpoint, so the retry repeats
   * nothing there.
   */
  isCounted({kind, mayHaveRun}: SendEnd): boolean {
    if (this.unreachableRetries === 'counted') return true;
    return kind !== 'lost' || mayHaveRun === true;
  }

  /** Finds out whether more of this host's share may be used, if none is left. */
  async loadUse(service: string): Promise<void> {
    if (this.use?.isUncertain(service) !== true) return;
    if (!this.hasRetry(service)) await this.use.load();
  }

  /** Borrows from other hosts if this host's share is used up. */
  async tryBorrow(service: string): Promise<void> {
    await this.loadUse(service);
    await this.lender?.acquire(service);
  }

  /** Returns the fraction of a retry that is missing for one; 0 if none is. */
  getMissing(service: string): number {
    const hosts = this.countHosts();
    return this.getBudget(service).getMissing(this.getNow(), hosts);
  }

  /** Takes a part of a retry for another host; returns how much. */
  offerLoan(service: string, wanted: number): number {
    const hosts = this.countHosts();
    const budget = this.getBudget(service);
    const amount = budget.offerLoan(wanted, this.getNow(), hosts);
    if (amount > 0) this.saveUse(service);
    return amount;
  }

  /** Adds a part of a retry that another host lent. */
  addLoan(service: string, amount: number): void {
    this.getBudget(service).addLoan(amount, this.getNow());
  }

  private getBudget(service: string): WindowedRetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new WindowedRetryBudget(this.options);
      this.budgets.set(service, budget);
    }
    budget.isReduced = this.use?.isUncertain(service) === true;
    return budget;
  }

  private saveUse(service: string): void {
    const {use} = this;
    if (use === undefined) return;
    const hosts = this.countHosts();
    const budget = this.getBudget(service);
    if (budget.isUsedBeyondReduced(this.getNow(), hosts)) use.save(service);
  }
}
