/** Tests of advertised limits, the permits for them and their issuers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {
  computePermitRetryDelayMs,
  computeEnforcedRate,
  isNewerReport,
  NO_SENDS,
  PermitBucket,
  PermitIssuers,
  RetrySchedule,
  sortIssuers,
  type LimitReport,
} from '@irisdock/decisions';
import {RUN_OPTIONS} from './run_options.js';

const WINDOW_MS = 4000;

/** Computes the most sends allowed in a window: 1.5 times the limit plus 5. */
function computeAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}

/** Counts the most times that fall into one window. */
function countWorst(times: readonly number[]): number {
  let worst = 0;
  for (const from of times) {
    const count = times.filter((at) => at >= from && at <= from + WINDOW_MS);
    worst = Math.max(worst, count.length);
  }
  return worst;
}

const RATES = fc.constantFrom(0.2, 0.7, 3.1, 12, 80, 400);
const STEPS = fc.array(
  fc.record({
    pauseMs: fc.oneof(
      fc.integer({min: 0, max: 40}),
      fc.integer({min: 0, max: 9000}),
    ),
    begun: fc.integer({min: 0, max: 3}),
    usual: fc.integer({min: 0, max: 30}),
    aside: fc.integer({min: 0, max: 3}),
  }),
  {maxLength: 120},
);

describe('PermitBucket', () => {
  it('keeps the bound whatever is requested and when', () => {
    fc.assert(
      fc.property(RATES, STEPS, (perSecond, steps) => {
        const bucket = new PermitBucket(0);
        const grantedAt: number[] = [];
        let now = 0;
        for (const {pauseMs, ...wanted} of steps) {
          now += pauseMs;
          const {granted} = bucket.take(wanted, perSecond, now);
          const count = granted.begun + granted.usual + granted.aside;
          for (let one = 0; one < count; one++) grantedAt.push(now);
        }
        return countWorst(grantedAt) <= computeAllowed(perSecond);
      }),
      RUN_OPTIONS,
    );
  });

  it('grants nearly the full limit if more is requested', () => {
    for (const perSecond of [0.2, 3.1, 50, 1000]) {
      const bucket = new PermitBucket(0);
      const seconds = 40;
      let sum = 0;
      for (let now = 0; now < seconds * 1000; now += 7) {
        const wanted = {...NO_SENDS, usual: 9};
        sum += bucket.take(wanted, perSecond, now).granted.usual;
      }
      assert.ok(sum >= Math.floor(0.97 * perSecond * seconds), `${sum}`);
    }
  });

  it('serves begun answers first, and work that can wait last', () => {
    const bucket = new PermitBucket(0);
    const wanted = {begun: 1, usual: 1, aside: 1};
    assert.deepEqual(bucket.take(wanted, 1, 0).granted, {
      begun: 1,
      usual: 0,
      aside: 0,
    });
    assert.deepEqual(bucket.take(wanted, 1, 3000).granted, {
      begun: 1,
      usual: 1,
      aside: 0,
    });
    assert.equal(bucket.take(NO_SENDS, 1, 3000).waitMs, 1000);
    const afterPause = bucket.take({...NO_SENDS, aside: 1}, 1, 60_000);
    assert.equal(afterPause.granted.aside, 1);
  });

  it('follows a changing limit, and a clock that stops', () => {
    const bucket = new PermitBucket(0);
    const wanted = {...NO_SENDS, usual: 1000};
    bucket.take(wanted, 1000, 5000);
    // Permits accumulated at the higher rate are not granted at the lower one.
    assert.ok(bucket.take(wanted, 1000, 5200).granted.usual <= 202);
    assert.ok(bucket.take(wanted, 1, 5400).granted.usual <= 3);
    assert.equal(bucket.take(wanted, 1, 5000).granted.usual, 0);
  });
});

/** The times of a request and its response. */
interface Exchange {
  /** When the request was sent. */
  readonly sentAt: number;
  /** When the endpoint created the response. */
  readonly madeAt: number;
  /** When the response arrived. */
  readonly arrivedAt: number;
}

const EXCHANGES = fc.array(
  fc
    .record({
      sentAt: fc.integer({min: 0, max: 10_000}),
      workMs: fc.integer({min: 0, max: 2000}),
      pathMs: fc.integer({min: 1, max: 3000}),
    })
    .map(({sentAt, workMs, pathMs}) => ({
      sentAt,
      madeAt: sentAt + workMs,
      arrivedAt: sentAt + workMs + pathMs,
    })),
  {minLength: 1, maxLength: 40},
);
/** When the endpoint starts or stops advertising its limit, alternately. */
const CHANGES = fc.array(fc.integer({min: 0, max: 10_000}), {maxLength: 4});

describe('the known limit of an endpoint', () => {
  it('is the advertised one after a request that follows a change', () => {
    fc.assert(
      fc.property(EXCHANGES, CHANGES, (exchanges, changes) => {
        const isLimitedAt = (at: number): boolean =>
          changes.filter((change) => change <= at).length % 2 === 1;
        const settledAt = Math.max(0, ...changes);
        const sent = 20_000;
        const last = {sentAt: sent, madeAt: sent + 5, arrivedAt: sent + 10};
        let known: LimitReport | undefined;
        const all: Exchange[] = [...exchanges, last];
        all.sort((a, b) => a.arrivedAt - b.arrivedAt);
        const isLimited = isLimitedAt(settledAt);
        let isReported = false;
        for (const {sentAt, madeAt, arrivedAt} of all) {
          const next: LimitReport = isLimitedAt(madeAt)
            ? {perSecond: 3, at: arrivedAt}
            : {perSecond: undefined, at: sentAt};
          if (isNewerReport(next, known)) known = next;
          // After the last change, no late response without a limit lifts it.
          isReported ||= isLimited && madeAt >= settledAt;
          if (isReported) assert.equal(known?.perSecond, 3);
        }
        return (known?.perSecond !== undefined) === isLimited;
      }),
      RUN_OPTIONS,
    );
  });

  it('is always finite and above 0', () => {
    const unreadable = {kind: 'unreadable'} as const;
    assert.equal(
      computeEnforcedRate({kind: 'rate', perSecond: 3.4}, undefined),
      3.4,
    );
    assert.ok(computeEnforcedRate({kind: 'rate', perSecond: 0}, undefined) > 0);
    const huge = computeEnforcedRate(
      {kind: 'rate', perSecond: 1e300},
      undefined,
    );
    assert.ok(Number.isFinite(huge));
    assert.equal(computeEnforcedRate(unreadable, 7), 7);
    const unknown = computeEnforcedRate(unreadable, undefined);
    assert.ok(unknown > 0 && unknown < 10);
  });
});

function createNames(count: number): string[] {
  return Array.from({length: count}, (_, one) => `host-${one}`);
}

describe('the issuer of permits', () => {
  it('is the same for all hosts, and changes for few when a host goes', () => {
    const names = createNames(60);
    const endpoints = Array.from({length: 500}, (_, one) => `i-${one}`);
    const load = new Map<string, number>();
    let moved = 0;
    for (const endpoint of endpoints) {
      const [issuer = ''] = sortIssuers(endpoint, names);
      assert.equal(sortIssuers(endpoint, [...names].reverse())[0], issuer);
      load.set(issuer, (load.get(issuer) ?? 0) + 1);
      const others = names.filter((name) => name !== 'host-7');
      if (sortIssuers(endpoint, others)[0] !== issuer) moved++;
    }
    assert.equal(moved, load.get('host-7') ?? 0);
    assert.ok(Math.max(...load.values()) < 30);
  });

  it('grants nothing while it has just started', () => {
    const issuers = new PermitIssuers('host-0', 0);
    issuers.update({names: ['host-0'], possiblyAlive: 1});
    assert.equal(issuers.computeShare('i-1', 3, 1000), 0);
    assert.equal(issuers.computeShare('i-1', 3, 2500), 1);
  });

  it('grants 1.25 times the limit at most on both sides of a partition', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 40}),
        fc.integer({min: 1, max: 40}),
        fc.string(),
        RATES,
        (one, two, endpoint, perSecond) => {
          const names = createNames(one + two);
          let sum = 0;
          for (const side of [names.slice(0, one), names.slice(one)]) {
            for (const name of side) {
              const issuers = new PermitIssuers(name, 0);
              issuers.update({names: side, possiblyAlive: names.length});
              sum += issuers.computeShare(endpoint, perSecond, 10_000);
            }
          }
          return sum <= 1.25 + 1e-9 && sum >= 0.5 - 1e-9;
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('is one of several if the limit is high', () => {
    const names = createNames(350);
    const issuers = new PermitIssuers('host-0', 0);
    issuers.update({names, possiblyAlive: 350});
    const found = new Set<string | undefined>();
    for (let turn = 0; turn < 40; turn++) {
      found.add(issuers.findIssuer('i-1', 1000, turn));
    }
    assert.equal(found.size, 20);
    assert.equal(issuers.countIssuers(3), 1);
  });

  it('is undefined if all hosts are leaving', () => {
    const issuers = new PermitIssuers('host-0', 0);
    assert.equal(issuers.findIssuer('i-1', 3), undefined);
    assert.equal(issuers.computeShare('i-1', 3, 10_000), 0);
  });
});

describe('requests refused because a limit is used up', () => {
  it('are retried one by one at its rate, in the order of refusal', () => {
    const schedule = new RetrySchedule();
    const delays: number[] = [];
    for (let caller = 0; caller < 5; caller++) {
      schedule.add(1, 2, 1000);
      delays.push(schedule.computeLastDelayMs(1000));
    }
    assert.deepEqual(delays, [500, 1000, 1500, 2000, 2500]);
    assert.equal(schedule.computeLastDelayMs(9000), 0);
    schedule.add(100, 0.2, 9000);
    assert.equal(schedule.computeLastDelayMs(9000), 10_000);
  });

  it('make each host ask for permits less often, the more hosts ask', () => {
    assert.equal(computePermitRetryDelayMs(2, 3, 100), 100);
    assert.equal(computePermitRetryDelayMs(2, 0.2, 4000), 250);
    assert.equal(computePermitRetryDelayMs(350, 3, 100), 7000);
    assert.equal(Math.round(computePermitRetryDelayMs(350, 1000, 1)), 117);
  });
});
