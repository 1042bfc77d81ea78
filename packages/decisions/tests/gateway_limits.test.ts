/** Tests of retry budgets, departure delays and the choice of store readers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseStoreReaders,
  RECOVERY_GRACE_MS,
  StoreReachability,
  WindowedRetryBudget,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const WINDOW_MS = 1000;
const BUDGET = {windowMs: WINDOW_MS, ratio: 0.5, allowance: 6, usedFraction: 1};

function createBudget(): WindowedRetryBudget {
  return new WindowedRetryBudget(BUDGET);
}

describe('WindowedRetryBudget', () => {
  it('stays within its bound in every window', () => {
    const steps = fc.array(
      fc.record({waitMs: fc.nat(300), isRetry: fc.boolean()}),
      {maxLength: 80},
    );
    fc.assert(
      fc.property(steps, fc.integer({min: 1, max: 4}), (list, hosts) => {
        const budget = new WindowedRetryBudget(BUDGET);
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const {waitMs, isRetry} of list) {
          now += waitMs;
          if (isRetry) {
            if (budget.takeRetry(now, hosts)) retries.push(now);
          } else {
            budget.addRequest(now);
            requests.push(now);
          }
          const from = now - WINDOW_MS;
          const inWindow = retries.filter((at) => at >= from).length;
          // Retries may have been earned in the window before this one.
          const wide = requests.filter((at) => at >= from - WINDOW_MS).length;
          assert.ok(inWindow <= 0.5 * wide + 6 / hosts);
        }
      }),
      RUN_OPTIONS,
    );
  });

  // Guards against loans by which hosts together exceed the budget.
  it('stays within the bound of all hosts when hosts lend', () => {
    const HOSTS = 4;
    const steps = fc.array(
      fc.record({
        waitMs: fc.nat(120),
        host: fc.nat(HOSTS - 1),
        lender: fc.nat(HOSTS - 1),
        kind: fc.constantFrom('request', 'retry', 'loan'),
      }),
      {maxLength: 150},
    );
    fc.assert(
      fc.property(steps, (list) => {
        const budgets = Array.from({length: HOSTS}, createBudget);
        const retries: number[] = [];
        let now = 0;
        let requests = 0;
        for (const {waitMs, host, lender, kind} of list) {
          now += waitMs;
          const budget = budgets[host] ?? createBudget();
          const other = budgets[lender] ?? createBudget();
          if (kind === 'request') {
            budget.addRequest(now);
            requests++;
          }
          if (kind === 'retry' && budget.takeRetry(now, HOSTS)) {
            retries.push(now);
          }
          const missing = budget.getMissing(now, HOSTS);
          if (kind === 'loan' && lender !== host && missing > 0) {
            budget.addLoan(other.offerLoan(missing, now, HOSTS), now);
          }
          const inWindow = retries.filter((at) => at >= now - WINDOW_MS / 2);
          assert.ok(inWindow.length <= 0.5 * requests + 6);
        }
      }),
      RUN_OPTIONS,
    );
  });

  // Guards against a budget that is split into shares below one retry.
  it('allows a retry by loans where no share is a whole one', () => {
    const HOSTS = 60;
    const [borrower, ...lenders] = Array.from({length: HOSTS}, createBudget);
    assert.ok(borrower !== undefined);
    assert.equal(borrower.takeRetry(0, HOSTS), false);
    for (const lender of lenders.slice(0, 9)) {
      borrower.addLoan(lender.offerLoan(1, 0, HOSTS), 0);
    }
    assert.equal(borrower.takeRetry(0, HOSTS), true);
    assert.equal(borrower.takeRetry(0, HOSTS), false);
    assert.equal(lenders[0]?.offerLoan(1, 0, HOSTS), 0);
    for (const lender of lenders.slice(9, 30)) {
      borrower.addLoan(lender.offerLoan(1, 0, HOSTS), 0);
    }
    assert.equal(borrower.takeRetry(WINDOW_MS - 1, HOSTS), false);
  });

  // Guards against loans that leave the lender's window before the retries for
  // which they are used leave the borrower's.
  it('counts a loan for a window after its last possible use', () => {
    const [borrower, lender] = [createBudget(), createBudget()];
    for (let at = 0; at < 3; at++) borrower.takeRetry(0, 2);
    for (let at = 0; at < 3; at++) {
      // The answer arrives 300 ms after the loan.
      borrower.addLoan(lender.offerLoan(1, 0, 2), 300);
    }
    let retries = 0;
    while (borrower.takeRetry(800, 2)) retries++;
    assert.equal(retries, 3);
    assert.equal(lender.takeRetry(WINDOW_MS + 800, 2), false);
    assert.equal(lender.takeRetry(WINDOW_MS + 801, 2), true);
  });

  it('is fully available again after a window', () => {
    const budget = new WindowedRetryBudget(BUDGET);
    for (let at = 0; at < 6; at++) assert.equal(budget.takeRetry(0, 1), true);
    assert.equal(budget.takeRetry(0, 1), false);
    assert.equal(budget.takeRetry(WINDOW_MS + 1, 1), true);
  });
});

describe('StoreReachability', () => {
  it('delays departures during and shortly after an outage of the store', () => {
    const contact = new StoreReachability();
    contact.recordSuccess(0);
    assert.equal(contact.getDepartureDelayMs(10), 0);
    contact.recordFailure(100);
    assert.equal(contact.getDepartureDelayMs(200), Infinity);
    contact.recordSuccess(500);
    assert.equal(contact.getDepartureDelayMs(600), RECOVERY_GRACE_MS - 100);
    assert.equal(contact.getDepartureDelayMs(500 + RECOVERY_GRACE_MS), 0);
  });
});

describe('the readers of the store', () => {
  const hosts = ['a', 'b', 'c', 'd', 'e'];

  function choose(away: readonly string[]): string[] {
    const candidates = hosts.map((name) => ({
      name,
      incarnation: 1,
      state: 'ready' as const,
      isStoreAway: away.includes(name),
    }));
    return chooseStoreReaders(candidates, 2);
  }

  it('are replaced by the next host if the store rejects them', () => {
    const [one = '', two = ''] = choose([]);
    const after = choose([one]);
    assert.equal(after[0], two);
    assert.notEqual(after[1], one);
  });

  it('are hosts that have a replica and stay, if there are enough', () => {
    const states = [
      'starting',
      'leaving',
      'ready',
      'ready',
      'starting',
    ] as const;
    const candidates = hosts.map((name, at) => ({
      name,
      incarnation: 1,
      state: states[at] ?? 'ready',
      isStoreAway: false,
    }));
    assert.deepEqual(chooseStoreReaders(candidates, 2).sort(), ['c', 'd']);
    // A host that the store rejects ranks below one that is starting.
    const away = candidates.map((one) => ({
      ...one,
      isStoreAway: one.name < 'e',
    }));
    assert.equal(chooseStoreReaders(away, 1)[0], 'e');
  });

  // Guards against each of many starting hosts becoming a reader in turn.
  it('are not replaced by hosts that start later', () => {
    const candidates = hosts.map((name, at) => ({
      name,
      incarnation: hosts.length - at,
      state: 'ready' as const,
      isStoreAway: false,
    }));
    assert.deepEqual(chooseStoreReaders(candidates, 2), ['e', 'd']);
    for (let incarnation = 6; incarnation < 50; incarnation++) {
      const name = `late-${incarnation}`;
      const late = {state: 'ready' as const, isStoreAway: false};
      candidates.push({name, incarnation, ...late});
      assert.deepEqual(chooseStoreReaders(candidates, 2), ['e', 'd']);
    }
  });

  it('are as many if the store rejects all hosts', () => {
    assert.deepEqual(choose(hosts), choose([]));
  });
});
