/** Retry budgets of hosts that are lost and start again within a window. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RetryBudgets} from '../src/serving/retry_budgets.js';

const WINDOW_MS = 10_000;
const HOSTS = 9;
const BOUNDS = {
  windowMs: WINDOW_MS,
  ratio: 0.8,
  allowance: 150,
  usedFraction: 0.8,
};

/** Counts the retries that all hosts take at a time until none is left. */
function countRetries(requests: number, now: number): number {
  let retries = 0;
  for (let host = 0; host < HOSTS; host++) {
    const budgets = new RetryBudgets(
      BOUNDS,
      () => HOSTS,
      () => now,
    );
    for (let count = 0; count < requests; count++) {
      budgets.recordRequest('engines');
    }
    while (budgets.takeRetry('engines')) retries++;
  }
  return retries;
}

describe('the retry budgets of all hosts', () => {
  // Guards against hosts that forget the retries of the window they start in.
  it('are kept over a loss of all hosts within a window', () => {
    const requests = 10;
    const before = countRetries(requests, 0);
    const after = countRetries(requests, WINDOW_MS / 2);
    const all = 2 * requests * HOSTS;
    const bound = BOUNDS.ratio * all + BOUNDS.allowance;
    assert.ok(before + after <= bound, `${before} + ${after} of ${bound}`);
  });
});
