/** Limits that endpoints name: what is believed, and who hands out permits. */
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

/** What may come in a window, by the aim: half over the limit, and five. */
function computeAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}

/** The most of these that fall into one window, counted one by one. */
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

describe('a bucket of permits', () => {
  it('keeps the bound whatever is asked of it and when', () => {
    fc.assert(
      fc.property(RATES, STEPS, (perSecond, steps) => {
        const bucket = new PermitBucket(0);
        const given: number[] = [];
        let now = 0;
        for (const {pauseMs, ...wanted} of steps) {
          now += pauseMs;
          const {granted} = bucket.take(wanted, perSecond, now);
          const count = granted.begun + granted.usual + granted.aside;
          for (let one = 0; one < count; one++) given.push(now);
        }
        return countWorst(given) <= computeAllowed(perSecond);
      }),
      RUN_OPTIONS,
    );
  });

  it('gives nearly all of the limit where more is asked', () => {
    for (const perSecond of [0.2, 3.1, 50, 1000]) {
      const bucket = new PermitBucket(0);
      const seconds = 40;
      let given = 0;
      for (let now = 0; now < seconds * 1000; now += 7) {
        const wanted = {...NO_SENDS, usual: 9};
        given += bucket.take(wanted, perSecond, now).granted.usual;
      }
      assert.ok(given >= Math.floor(0.97 * perSecond * seconds), `${given}`);
    }
  });

  it('gives begun answers first, and what can wait last', () => {
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
    const rested = bucket.take({...NO_SENDS, aside: 1}, 1, 60_000);
    assert.equal(rested.granted.aside, 1);
  });

  it('follows a limit that changes, and a clock that stood still', () => {
    const bucket = new PermitBucket(0);
    const wanted = {...NO_SENDS, usual: 1000};
    bucket.take(wanted, 1000, 5000);
    // What gathered under the higher limit is no longer there to be given.
    assert.ok(bucket.take(wanted, 1000, 5200).granted.usual <= 202);
    assert.ok(bucket.take(wanted, 1, 5400).granted.usual <= 3);
    assert.equal(bucket.take(wanted, 1, 5000).granted.usual, 0);
  });
});

/** An endpoint that names a limit now and then, and answers that overlap. */
interface Answer {
  readonly sentAt: number;
  readonly madeAt: number;
  readonly arrivedAt: number;
}

const ANSWERS = fc.array(
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
const CHANGES = fc.array(fc.integer({min: 0, max: 10_000}), {maxLength: 4});

describe('what is believed of a limit', () => {
  it('is what the endpoint says once it is asked after a change', () => {
    fc.assert(
      fc.property(ANSWERS, CHANGES, (answers, changes) => {
        const isNamedAt = (at: number): boolean =>
          changes.filter((change) => change <= at).length % 2 === 1;
        const settledAt = Math.max(0, ...changes);
        const ask = 20_000;
        const last = {sentAt: ask, madeAt: ask + 5, arrivedAt: ask + 10};
        let word: LimitReport | undefined;
        const all: Answer[] = [...answers, last];
        all.sort((a, b) => a.arrivedAt - b.arrivedAt);
        const isNamed = isNamedAt(settledAt);
        let isTold = false;
        for (const {sentAt, madeAt, arrivedAt} of all) {
          const next: LimitReport = isNamedAt(madeAt)
            ? {perSecond: 3, at: arrivedAt}
            : {perSecond: undefined, at: sentAt};
          if (isNewerReport(next, word)) word = next;
          // Once it was named for good, no late answer of before ends it.
          isTold ||= isNamed && madeAt >= settledAt;
          if (isTold) assert.equal(word?.perSecond, 3);
        }
        return (word?.perSecond !== undefined) === isNamed;
      }),
      RUN_OPTIONS,
    );
  });

  it('is never without bound, and shuts no endpoint out for good', () => {
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

describe('the host that hands out permits', () => {
  it('is the same for all, and another for few when a host goes', () => {
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

  it('gives none while it has just started', () => {
    const issuers = new PermitIssuers('host-0', 0);
    issuers.update({names: ['host-0'], possiblyAlive: 1});
    assert.equal(issuers.computeShare('i-1', 3, 1000), 0);
    assert.equal(issuers.computeShare('i-1', 3, 2500), 1);
  });

  it('gives no more than a quarter over the limit on both sides of a cut', () => {
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

  it('is one of several where the limit is high', () => {
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

  it('is nobody where no host stays', () => {
    const issuers = new PermitIssuers('host-0', 0);
    assert.equal(issuers.findIssuer('i-1', 3), undefined);
    assert.equal(issuers.computeShare('i-1', 3, 10_000), 0);
  });
});

describe('callers that found a limit used up', () => {
  it('come back one by one at its rate, in the order they were told', () => {
    const queue = new RetrySchedule();
    const told: number[] = [];
    for (let caller = 0; caller < 5; caller++) {
      queue.add(1, 2, 1000);
      told.push(queue.computeLastDelayMs(1000));
    }
    assert.deepEqual(told, [500, 1000, 1500, 2000, 2500]);
    assert.equal(queue.computeLastDelayMs(9000), 0);
    queue.add(100, 0.2, 9000);
    assert.equal(queue.computeLastDelayMs(9000), 10_000);
  });

  it('are asked for less often by each host, the more hosts ask', () => {
    assert.equal(computePermitRetryDelayMs(2, 3, 100), 100);
    assert.equal(computePermitRetryDelayMs(2, 0.2, 4000), 250);
    assert.equal(computePermitRetryDelayMs(350, 3, 100), 7000);
    assert.equal(Math.round(computePermitRetryDelayMs(350, 1000, 1)), 117);
  });
});
