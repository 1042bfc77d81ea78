/** Retry budgets of hosts that are lost and start again within a window. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BOUNDS, BudgetFleet, WINDOW_MS} from './fixtures/budget_fleet.js';

const HOSTS = 9;
const REQUESTS = 10;
/** What all hosts take of a budget that they know to be unused. */
const WHOLE_SHARES = 171;

/** Computes how many retries all hosts may send in one window. */
function computeBound(requests: number): number {
  return BOUNDS.ratio * requests * HOSTS + BOUNDS.allowance;
}

async function countFirstRetries(fleet: BudgetFleet): Promise<number> {
  fleet.recordRequests(REQUESTS);
  return fleet.takeAll();
}

describe('the retry budgets of all hosts', () => {
  // Guards against hosts that forget the retries of the window they start in.
  it('are kept over a loss of all hosts within a window', async () => {
    const fleet = new BudgetFleet(HOSTS);
    const before = await countFirstRetries(fleet);
    assert.equal(before, WHOLE_SHARES);
    await fleet.clock.run(WINDOW_MS / 2);
    fleet.startAgain();
    fleet.recordRequests(REQUESTS);
    const after = await fleet.takeAll();
    const bound = computeBound(2 * REQUESTS);
    assert.ok(after > 0);
    assert.ok(before + after <= bound, `${before} + ${after} of ${bound}`);
  });

  // Guards against a store that is away when the hosts start.
  it('are kept when hosts cannot read what was used', async () => {
    const fleet = new BudgetFleet(HOSTS);
    const before = await countFirstRetries(fleet);
    fleet.isStoreAway = true;
    fleet.startAgain();
    fleet.recordRequests(REQUESTS);
    const after = await fleet.takeAll();
    const bound = computeBound(2 * REQUESTS);
    assert.ok(before + after <= bound, `${before} + ${after} of ${bound}`);
  });

  // Guards against live hosts that make each other's retries seem unused.
  it('are kept when hosts restart one after the other', async () => {
    const fleet = new BudgetFleet(HOSTS);
    let used = await countFirstRetries(fleet);
    for (let index = 0; index < HOSTS; index++) {
      fleet.startAgain([index]);
      used += await fleet.takeAll();
    }
    const bound = computeBound(REQUESTS);
    assert.ok(used <= bound, `${used} of ${bound}`);
  });

  // Guards against the cost of a loss for callers of which few were retried.
  it('are whole again if hosts that were lost used little', async () => {
    const fleet = new BudgetFleet(HOSTS);
    fleet.recordRequests(REQUESTS);
    for (const {budgets} of fleet.hosts) budgets.takeRetry('engines');
    await fleet.clock.run(WINDOW_MS / 2);
    fleet.startAgain();
    fleet.recordRequests(REQUESTS);
    assert.equal(await fleet.takeAll(), WHOLE_SHARES);
  });

  // Guards against rows that outlive what they tell of.
  it('are whole again a window after they were used, without rows', async () => {
    const fleet = new BudgetFleet(HOSTS);
    await countFirstRetries(fleet);
    fleet.startAgain();
    await fleet.takeAll();
    await fleet.clock.run(2 * WINDOW_MS);
    assert.equal(fleet.rows.size, 0);
    fleet.startAgain();
    fleet.recordRequests(REQUESTS);
    assert.equal(await fleet.takeAll(), WHOLE_SHARES);
  });

  // Guards against rows of hosts that do not start again.
  it('leave no rows of hosts that were replaced', async () => {
    const fleet = new BudgetFleet(HOSTS);
    await countFirstRetries(fleet);
    fleet.startAgain([0], 'other');
    await fleet.takeAll(fleet.hosts.slice(0, 1));
    await fleet.clock.run(8 * WINDOW_MS);
    assert.equal(fleet.rows.size, 0);
  });

  // Guards against calls to the store that nothing needs.
  it('cost a read for each host while no retries are needed', async () => {
    const fleet = new BudgetFleet(HOSTS);
    for (let second = 0; second < 30; second++) {
      fleet.recordRequests(REQUESTS);
      for (const {budgets} of fleet.hosts) await budgets.loadUse('engines');
      await fleet.clock.run(1000);
    }
    assert.deepEqual(fleet.calls, {reads: HOSTS, writes: 0});
  });
});
