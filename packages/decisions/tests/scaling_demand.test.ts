/** The load over all hosts, from reports that may be lost or come late. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computeNeed,
  DemandTracker,
  NeedLevel,
  type HostDemand,
} from '@irisdock/decisions';

const NONE: HostDemand = {
  inFlight: 0,
  expectedTokens: 0,
  promptTokens: 0,
  idleTokens: 0,
  idleMs: 0,
};

/** Records the report of a second; a host's prompts grow evenly. */
function recordSecond(
  tracker: DemandTracker,
  second: number,
  at = second * 1000,
): void {
  const demand = {...NONE, inFlight: 2, promptTokens: second * 5000};
  tracker.record('host', 1, demand, at);
}

/** Records a report each second. */
function recordSeconds(tracker: DemandTracker, isLost: boolean): void {
  for (let second = 0; second <= 8; second++) {
    if (isLost && second % 3 === 1) continue;
    recordSecond(tracker, second);
  }
}

describe('the load over all hosts', () => {
  for (const isLost of [false, true]) {
    it(`is the same when reports are ${isLost ? '' : 'not '}lost`, () => {
      const tracker = new DemandTracker();
      recordSeconds(tracker, isLost);
      const {inFlight, promptTokensPerSecond} = tracker.getDemand(8000);
      assert.equal(inFlight, 2);
      assert.equal(promptTokensPerSecond, 5000);
    });
  }

  // Guards against a stopped process that orders endpoints for the prompts of
  // its whole pause at once. After 10 s, its hosts are forgotten.
  for (const [seconds, rate] of [
    [2, 5000],
    [4, 5000],
    [10, 0],
  ] as const) {
    it(`counts reports over the ${seconds} s of its own pause`, () => {
      const tracker = new DemandTracker();
      recordSeconds(tracker, false);
      const now = 8000 + seconds * 1000;
      tracker.getDemand(now);
      for (let second = 9; second <= 8 + seconds; second++) {
        recordSecond(tracker, second, now);
      }
      assert.equal(tracker.getDemand(now).promptTokensPerSecond, rate);
    });
  }

  // Guards against the total of a host that ran before this one heard of it.
  it('leaves out what a host counted before its first report', () => {
    const tracker = new DemandTracker();
    const demand = {...NONE, promptTokens: 9_000_000};
    tracker.record('host', 1, demand, 0);
    assert.equal(tracker.getDemand(0).promptTokensPerSecond, 0);
  });

  // Guards against prompts that count twice after a late report.
  it('ignores a report that was overtaken', () => {
    const tracker = new DemandTracker();
    for (const [at, tokens] of [0, 8000, 4000, 8000].entries()) {
      const demand = {...NONE, promptTokens: tokens};
      tracker.record('host', 1, demand, at * 500);
    }
    assert.equal(tracker.getDemand(1500).promptTokensPerSecond, 3000);
  });

  it('forgets a host that reports no more', () => {
    const tracker = new DemandTracker();
    tracker.record('host', 1, {...NONE, inFlight: 5}, 0);
    assert.equal(tracker.countHosts(7000), 1);
    assert.equal(tracker.getDemand(7001).inFlight, 0);
    assert.equal(tracker.countHosts(7001), 0);
  });

  it('gives the speed of engines once it is known', () => {
    const tracker = new DemandTracker();
    tracker.record('host', 1, NONE, 0);
    assert.equal(tracker.findPrefillRate(), undefined);
    const demand = {...NONE, idleTokens: 50_000, idleMs: 10_000};
    tracker.record('host', 1, demand, 1000);
    assert.equal(tracker.findPrefillRate(), 5000);
  });
});

describe('the need of a load', () => {
  const demand = {
    inFlight: 110,
    expectedTokens: 0,
    promptTokensPerSecond: 100_000,
  };

  it('follows prompts, memory or slots, whichever needs most', () => {
    const capacity = {slots: 16, promptTokensPerSecond: 5000};
    assert.ok(Math.abs(computeNeed(demand, capacity) - 44.4) < 0.1);
    const plain = {...demand, promptTokensPerSecond: 0};
    const bySlots = computeNeed(plain, {slots: 16});
    assert.ok(Math.abs(bySlots - 110 / 16 / 0.7) < 0.1);
    const byMemory = computeNeed(
      {...plain, expectedTokens: 1_500_000},
      {slots: 16, memoryTokens: 55_000},
    );
    assert.ok(Math.abs(byMemory - 36.4) < 0.1);
  });

  // Guards against capacity that is given up in a short pause of the load.
  it('grows at once and falls slowly', () => {
    const level = new NeedLevel(10, 0);
    level.record(40, 1000);
    const high = level.value;
    assert.ok(high >= 40);
    for (let now = 2000; now <= 28_000; now += 1000) level.record(0, now);
    assert.equal(level.value, high);
    for (let now = 29_000; now <= 41_000; now += 1000) level.record(0, now);
    assert.ok(level.value < high);
    assert.ok(level.value > 30);
  });
});
