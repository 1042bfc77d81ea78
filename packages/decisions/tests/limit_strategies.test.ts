/**
 * The ways to keep a limit over many hosts, on the same seeds: one host that hands
 * out permits keeps the bound and uses the limit at any size; even parts and parts
 * by told demand do not.
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

type CreateWay = (world: LimitEnvironment) => LimitStrategy;

const createIssuer: CreateWay = (world) => new IssuerStrategy(world);

function runPlays(
  hosts: number,
  perSecond: number,
  createWay: CreateWay,
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
    return simulation.run(createWay);
  });
}

function isBroken({worst, allowed}: LimitResult): boolean {
  return worst > allowed;
}

describe('permits from one host', () => {
  for (const [hosts, leastUsed] of [
    [9, 0.9],
    [60, 0.85],
    [350, 0.8],
  ] as const) {
    it(`keep and use limits of any height over ${hosts} hosts`, () => {
      for (const perSecond of [3.1, 50, 400]) {
        for (const result of runPlays(hosts, perSecond, createIssuer)) {
          assert.ok(!isBroken(result), JSON.stringify(result));
          assert.ok(result.usedFraction >= leastUsed, JSON.stringify(result));
        }
      }
      for (const result of runPlays(hosts, 0.2, createIssuer)) {
        assert.ok(!isBroken(result) && result.usedFraction > 0);
      }
    });

    it(`keep the bound over ${hosts} hosts that are lost and cut off`, () => {
      const faults: LimitFault[] = [
        {atMs: 5000, kind: 'kill-issuer'},
        {atMs: 7000, kind: 'kill-issuer'},
        {atMs: 9000, kind: 'cut'},
        {atMs: 13_000, kind: 'heal'},
      ];
      for (const perSecond of [0.2, 3.1, 50]) {
        for (const result of runPlays(hosts, perSecond, createIssuer, faults)) {
          assert.ok(!isBroken(result), JSON.stringify(result));
        }
      }
    });
  }
});

describe('the ways that were weighed', () => {
  it('even parts break the bound at 60 hosts and use two thirds', () => {
    const createWay: CreateWay = (world) => new EvenShareStrategy(world);
    assert.ok(runPlays(60, 3.1, createWay).some(isBroken));
    for (const {usedFraction: usedPart} of runPlays(9, 50, createWay)) {
      assert.ok(usedPart < 0.8);
    }
  });

  it('parts by told demand break it at 60 and 350 hosts', () => {
    const createWay: CreateWay = (world) => new DemandShareStrategy(world);
    assert.ok(runPlays(60, 3.1, createWay).every(isBroken));
    assert.ok(runPlays(350, 3.1, createWay).every(isBroken));
  });
});
