/**
 * Compares strategies of enforcing a rate limit over many hosts, on the same
 * seeds. Permits from one issuer keep the bound and use the limit at any number
 * of hosts; even shares and shares by demand don't.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  LimitSimulation,
  type LimitFault,
  type LimitResult,
  type LimitStrategy,
  type LimitEnvironment,
} from './fixtures/limit_simulation.js';
import {
  EvenShareStrategy,
  IssuerStrategy,
  DemandShareStrategy,
} from './fixtures/limit_strategies.js';

const SEEDS = [1, 2, 3];

type CreateStrategy = (environment: LimitEnvironment) => LimitStrategy;

const createIssuer: CreateStrategy = (environment) =>
  new IssuerStrategy(environment);

/** Simulates a strategy on all seeds. */
function runSeeds(
  hosts: number,
  perSecond: number,
  createStrategy: CreateStrategy,
  faults: readonly LimitFault[] = [],
): LimitResult[] {
  return SEEDS.map((seed) => {
    const simulation = new LimitSimulation({
      hosts,
      perSecond,
      demandPerSecond: 3 * perSecond + 10,
      seed,
      seconds: 20,
      busyHosts: Math.ceil(hosts / 10),
      faults,
    });
    return simulation.run(createStrategy);
  });
}

function isBroken({worst, allowed}: LimitResult): boolean {
  return worst > allowed;
}

describe('permits from one issuer', () => {
  for (const [hosts, leastUsed] of [
    [9, 0.9],
    [60, 0.85],
    [350, 0.8],
  ] as const) {
    it(`keep and use limits of any rate over ${hosts} hosts`, () => {
      for (const perSecond of [3.1, 50, 400]) {
        for (const result of runSeeds(hosts, perSecond, createIssuer)) {
          assert.ok(!isBroken(result), JSON.stringify(result));
          assert.ok(result.usedFraction >= leastUsed, JSON.stringify(result));
        }
      }
      for (const result of runSeeds(hosts, 0.2, createIssuer)) {
        assert.ok(!isBroken(result) && result.usedFraction > 0);
      }
    });

    it(`keep the bound over ${hosts} hosts despite losses and a cut`, () => {
      const faults: LimitFault[] = [
        {atMs: 5000, kind: 'kill-issuer'},
        {atMs: 7000, kind: 'kill-issuer'},
        {atMs: 9000, kind: 'cut'},
        {atMs: 13_000, kind: 'heal'},
      ];
      for (const perSecond of [0.2, 3.1, 50]) {
        for (const result of runSeeds(hosts, perSecond, createIssuer, faults)) {
          assert.ok(!isBroken(result), JSON.stringify(result));
        }
      }
    });
  }
});

describe('the alternatives', () => {
  it('even shares break the bound at 60 hosts and use two thirds', () => {
    const createEven: CreateStrategy = (environment) =>
      new EvenShareStrategy(environment);
    assert.ok(runSeeds(60, 3.1, createEven).some(isBroken));
    for (const {usedFraction} of runSeeds(9, 50, createEven)) {
      assert.ok(usedFraction < 0.8);
    }
  });

  it('shares by demand break it at 60 and 350 hosts', () => {
    const createDemand: CreateStrategy = (environment) =>
      new DemandShareStrategy(environment);
    assert.ok(runSeeds(60, 3.1, createDemand).every(isBroken));
    assert.ok(runSeeds(350, 3.1, createDemand).every(isBroken));
  });
});
