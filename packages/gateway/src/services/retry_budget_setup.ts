/** Creates the retry budgets of a host from its settings. */
import type {WindowedRetryBudgetOptions} from '@irisdock/decisions';
import type {ServiceContext} from '@irisdock/kernel';
import {RetryBudgets} from '../serving/retry_budgets.js';
import type {OutageMetrics} from '../serving/outage_metrics.js';
import type {OutageValues} from './outage_settings.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {RetryLoans} from './retry_loans.js';
import {RetryUseStore} from './retry_use_store.js';
import {STORE} from './store.js';

/**
 * The used fraction of the retry budget; the rest is slack for sliding windows.
 */
const USED_BUDGET_FRACTION = 0.8;

/** The bounds of retry budgets. */
export interface RetryBounds {
  readonly retryRatio: number;
  readonly retryAllowance: number;
  readonly retryWindowSeconds: number;
}

/** Creates the retry budgets, parts of which hosts may lend each other. */
export function createRetryBudgets(
  context: ServiceContext,
  settings: RetryBounds & OutageValues,
  {retryLoans: loans}: OutageMetrics,
): RetryBudgets {
  const {clock} = context;
  const {retryLenders: maxLenders, unreachableRetries} = settings;
  const peers = context.find(PEERS);
  const budgets = new RetryBudgets(
    createBudgetOptions(settings),
    () => peers.computeServingShares(),
    () => clock.getNow(),
    unreachableRetries,
  );
  const parts = {...context, budgets, peers, loans, maxLenders};
  const retryLoans = new RetryLoans(parts);
  peers.handlers.loans = retryLoans;
  if (maxLenders > 0) budgets.lender = retryLoans;
  const identity = context.find(HOST_IDENTITY);
  budgets.use = new RetryUseStore({
    ...context,
    identity,
    store: context.find(STORE),
    isAlive: ({host, incarnation}) =>
      peers
        .listAlive()
        .some(
          ({record}) =>
            record.name === host && record.incarnation === incarnation,
        ),
    getWindowMs: () => budgets.windowMs,
  });
  return budgets;
}

/** Creates the options of the budgets from the settings. */
export function createBudgetOptions(
  settings: RetryBounds,
): WindowedRetryBudgetOptions {
  return {
    windowMs: settings.retryWindowSeconds * 1000,
    ratio: settings.retryRatio,
    allowance: settings.retryAllowance,
    usedFraction: USED_BUDGET_FRACTION,
  };
}
