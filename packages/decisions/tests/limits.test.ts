/**
 * Tests of gap statistics, leases, retry budgets, wait estimates, addresses for
 * callers, planned orders and leader candidates.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, type ClockTimes} from '@irisdock/kernel';
import {
  chooseAddresses,
  chooseLeaderCandidates,
  computeRetryAfterSeconds,
  GapStatistics,
  DEFAULT_LEASE_TIMINGS,
  LeaseState,
  planOrders,
  RetryBudget,
  DEFAULT_STALL_BOUNDS,
  WaitEstimate,
  type LeaseRow,
  type MemberNote,
  type DesiredLoads,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

describe('GapStatistics', () => {
  it('returns the longest limits before the first gap', () => {
    const limits = new GapStatistics().getLimits(DEFAULT_STALL_BOUNDS);
    assert.equal(limits.probeMs, DEFAULT_STALL_BOUNDS.maxProbeMs);
    assert.equal(limits.lostMs, DEFAULT_STALL_BOUNDS.maxLostMs);
  });

  it('stays within its bounds for any gaps', () => {
    const gaps = fc.array(fc.double({min: 0, max: 1e6, noNaN: true}));
    fc.assert(
      fc.property(gaps, (list) => {
        const statistics = new GapStatistics();
        for (const gap of list) statistics.record(gap);
        const {probeMs, lostMs} = statistics.getLimits(DEFAULT_STALL_BOUNDS);
        assert.ok(probeMs >= DEFAULT_STALL_BOUNDS.minProbeMs);
        assert.ok(probeMs <= DEFAULT_STALL_BOUNDS.maxProbeMs);
        assert.ok(lostMs > probeMs && lostMs <= DEFAULT_STALL_BOUNDS.maxLostMs);
      }),
      RUN_OPTIONS,
    );
  });

  it('probes fast engines no later than slow ones', () => {
    const [fast, slow] = [20, 90].map((gapMs) => {
      const statistics = new GapStatistics();
      for (let at = 0; at < 500; at++) statistics.record(gapMs + (at % 5));
      return statistics.getLimits(DEFAULT_STALL_BOUNDS).probeMs;
    });
    assert.ok((fast ?? 0) <= (slow ?? 0));
  });
});

/** The clocks of a machine that was never suspended or set. */
function createTimes(ms: number): ClockTimes {
  return {nowMs: ms, steadyMs: ms, wallMs: ms};
}

/** Simulates two hosts that compete for one lease row. */
class LeaseSimulation {
  row: LeaseRow | undefined;
  readonly hosts = ['a', 'b'].map((name) => ({
    state: new LeaseState(name, DEFAULT_LEASE_TIMINGS),
    clock: 0,
  }));

  /**
   * Lets a host take its next step.
   *
   * @param index The host's index.
   * @param isAnswerLost Whether the host doesn't learn that its write took
   *     effect.
   */
  takeTurn(index: number, isAnswerLost: boolean): void {
    const host = this.hosts[index];
    if (host === undefined) return;
    const read = this.row;
    const step = host.state.decide(read, createTimes(host.clock));
    if (step.step === 'wait') return;
    if (this.row !== read) return;
    this.row = step.row;
    if (isAnswerLost) return;
    host.state.recordWrite(step.row, createTimes(host.clock));
  }

  listFences(): number[] {
    return this.hosts.flatMap(
      (host) => host.state.getFencingToken(createTimes(host.clock)) ?? [],
    );
  }
}

describe('LeaseState', () => {
  const turns = fc.array(
    fc.record({
      elapsedMs: fc.nat(4000),
      host: fc.nat(1),
      isAnswerLost: fc.boolean(),
    }),
    {maxLength: 60},
  );

  it('has one holder at a time, even if write answers are lost', () => {
    fc.assert(
      fc.property(turns, (list) => {
        const simulation = new LeaseSimulation();
        for (const {elapsedMs, host, isAnswerLost} of list) {
          for (const each of simulation.hosts) each.clock += elapsedMs;
          simulation.takeTurn(host, isAnswerLost);
          assert.ok(simulation.listFences().length <= 1);
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('never lowers the fencing token', () => {
    fc.assert(
      fc.property(turns, (list) => {
        const simulation = new LeaseSimulation();
        let highest = 0;
        for (const {elapsedMs, host, isAnswerLost} of list) {
          for (const each of simulation.hosts) each.clock += elapsedMs;
          simulation.takeTurn(host, isAnswerLost);
          const fence = simulation.row?.fence ?? 0;
          assert.ok(fence >= highest);
          highest = fence;
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('passes from a dead holder to another host', () => {
    const simulation = new LeaseSimulation();
    simulation.takeTurn(0, false);
    for (let at = 0; at < 20; at++) {
      for (const each of simulation.hosts) each.clock += 1000;
      simulation.takeTurn(1, false);
    }
    assert.equal(simulation.row?.holder, 'b');
    assert.equal(simulation.row.fence, 2);
  });
});

describe('RetryBudget', () => {
  it('limits retries to a fraction of the first attempts', () => {
    const options = {
      retriesPerRequest: 0.2,
      maxRetries: 100,
      minRetriesPerSecond: 0,
    };
    const budget = new RetryBudget(options);
    let retries = 0;
    for (let at = 0; at < 1000; at++) {
      budget.addFirstAttempt();
      if (budget.takeRetry(0)) retries++;
    }
    // A fifth of the first attempts, plus the initial budget.
    assert.ok(retries >= 200 && retries <= 211, String(retries));
  });

  it('lets a host without requests retry', () => {
    const options = {
      retriesPerRequest: 0,
      maxRetries: 10,
      minRetriesPerSecond: 2,
    };
    const budget = new RetryBudget(options);
    while (budget.takeRetry(0)) continue;
    assert.equal(budget.takeRetry(400), false);
    assert.equal(budget.takeRetry(1100), true);
  });
});

describe('WaitEstimate', () => {
  it('has no estimate before the first departure', () => {
    assert.equal(new WaitEstimate().getWaitMs(5, 0), undefined);
  });

  it('follows the rate of departures, and pauses', () => {
    const estimate = new WaitEstimate();
    estimate.startBusy(0);
    for (let now = 100; now <= 5000; now += 100) estimate.recordDequeue(now);
    assert.equal(Math.round(estimate.getWaitMs(10, 5000) ?? 0), 1000);
    assert.ok((estimate.getWaitMs(10, 8000) ?? 0) > 5000);
  });

  it('ignores time in which no request waited', () => {
    const estimate = new WaitEstimate();
    estimate.startBusy(0);
    estimate.recordDequeue(100);
    estimate.endBusy();
    assert.equal(estimate.getWaitMs(1, 60_000), 100);
  });
});

describe('computeRetryAfterSeconds', () => {
  it('returns an integer from 1 to 60 for any wait', () => {
    const waits = fc.oneof(fc.double({min: 0}), fc.constant(Infinity));
    fc.assert(
      fc.property(
        waits,
        fc.double({min: 0, max: 1, noNaN: true}),
        (ms, spread) => {
          if (Number.isNaN(ms)) return;
          const seconds = computeRetryAfterSeconds(ms, spread);
          assert.ok(Number.isInteger(seconds));
          assert.ok(seconds >= 1 && seconds <= 60);
        },
      ),
      RUN_OPTIONS,
    );
  });
});

describe('chooseAddresses', () => {
  const serving = Array.from({length: 9}, (_, at): MemberNote => {
    const hostId = `h${at}`;
    return {
      hostId,
      incarnation: '1',
      sequence: 1,
      state: 'live',
      callerAddress: `${hostId}:1`,
      peerAddress: `${hostId}:2`,
      failureDomain: 'abc'[at % 3] ?? '',
      revision: 0,
    };
  });

  it("begins with the caller's failure domain and ends outside it", () => {
    const random = new SeededRandom(3);
    const {addresses} = chooseAddresses(serving, 'b', 10, random);
    assert.equal(addresses[0]?.failureDomain, 'b');
    assert.notEqual(addresses.at(-1)?.failureDomain, 'b');
  });

  it('spreads callers over the hosts', () => {
    const random = new SeededRandom(3);
    const first = new Map<string, number>();
    for (let at = 0; at < 900; at++) {
      const answer = chooseAddresses(serving, undefined, 10, random);
      const address = answer.addresses[0]?.address ?? '';
      first.set(address, (first.get(address) ?? 0) + 1);
      assert.ok(answer.keepForSeconds >= 7 && answer.keepForSeconds <= 13);
    }
    assert.equal(first.size, 9);
    assert.ok(Math.max(...first.values()) < 150);
  });
});

describe('planOrders', () => {
  function createDesired(change: Partial<DesiredLoads> = {}): DesiredLoads {
    const endpoints = ['e1', 'e2', 'e3'].map((address) => ({
      address,
      models: [] as string[],
      adapters: [],
    }));
    return {
      service: 's',
      models: ['m'],
      adapters: [],
      replicas: 0,
      demand: 0,
      endpoints,
      ...change,
    };
  }

  it('plans no more loads than allowed', () => {
    assert.equal(planOrders([createDesired()], 2).length, 2);
  });

  it('plans loads of the service with the highest demand first', () => {
    const busy = createDesired({service: 'busy', models: ['n'], demand: 50});
    const orders = planOrders([createDesired(), busy], 1);
    assert.equal(orders[0]?.target, 'n');
  });

  it('loads the declared replicas, counting endpoints that are ready', () => {
    const endpoints = ['e1', 'e2', 'e3'].map((address) => ({
      address,
      models: address === 'e3' ? ['m'] : [],
      adapters: [],
    }));
    const orders = planOrders([createDesired({replicas: 2, endpoints})], 9);
    assert.deepEqual(
      orders.map((order) => order.address),
      ['e1'],
    );
  });

  it('converges to the declared loads', () => {
    const start = fc.array(fc.subarray(['m', 'n', 'o']), {maxLength: 5});
    fc.assert(
      fc.property(start, fc.nat(5), (models, replicas) => {
        const loaded = models.map((list) => new Set(list));
        const createNow = (): DesiredLoads =>
          createDesired({
            replicas,
            endpoints: loaded.map((set, at) => ({
              address: `e${at}`,
              models: [...set],
              adapters: [],
            })),
          });
        for (let round = 0; round < 30; round++) {
          for (const order of planOrders([createNow()], 1)) {
            const set = loaded[Number(order.address.slice(1))];
            if (order.action === 'load_model') set?.add(order.target);
            else set?.delete(order.target);
          }
        }
        const count = replicas === 0 ? loaded.length : replicas;
        const have = loaded.filter((set) => set.has('m')).length;
        assert.equal(have, Math.min(count, loaded.length));
        assert.ok(loaded.every((set) => !set.has('n') && !set.has('o')));
      }),
      RUN_OPTIONS,
    );
  });
});

describe('chooseLeaderCandidates', () => {
  it('chooses the same hosts for any order of the ids', () => {
    const ids = fc.uniqueArray(fc.string(), {maxLength: 20});
    fc.assert(
      fc.property(ids, fc.nat(5), (hostIds, count) => {
        const chosen = chooseLeaderCandidates('orders', hostIds, count);
        const other = chooseLeaderCandidates(
          'orders',
          [...hostIds].reverse(),
          count,
        );
        assert.deepEqual(chosen, other);
        assert.equal(chosen.length, Math.min(count, hostIds.length));
      }),
      RUN_OPTIONS,
    );
  });
});
