/**
 * What streams lose in a deployment that loses the engines of a failure domain
 * every 6.5 s, before and after each gain, by a replay of its load.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runOutages, type OutageOptions} from './fixtures/outage_simulation.js';
import type {OutageFigures} from './fixtures/outage_streams.js';

/** One region of four domains; 20 streams a second of 5,000 tokens. */
const ONE_REGION: OutageOptions = {
  hosts: 91,
  engines: 63,
  domains: 4,
  slots: 16,
  memoryTokens: 55_000,
  streamTokens: 6120,
  stepMs: 3.41,
  prefillTokensPerMs: 5,
  streamsPerSecond: 20,
  outages: 'restart',
  seed: 1,
};
const SIX_DOMAINS = {
  ...ONE_REGION,
  hosts: 72,
  engines: 80,
  domains: 6,
  slots: 12,
};
const LENDING = {isLending: true, countsUnreachable: false};

function countLost({cut, refused, late, paused}: OutageFigures): number {
  return cut + refused + late + paused;
}

/** Adds up the figures of three seeds, as one varies by a tenth. */
function runSeeds(options: OutageOptions): OutageFigures {
  const sum = {streams: 0, cut: 0, refused: 0, late: 0, paused: 0, rereads: 0};
  for (const seed of [1, 2, 3]) {
    const figures = runOutages({...options, seed});
    sum.streams += figures.streams;
    sum.cut += figures.cut;
    sum.refused += figures.refused;
    sum.late += figures.late;
    sum.paused += figures.paused;
    sum.rereads += figures.rereads;
  }
  return sum;
}

describe('streams while failure domains are lost again and again', () => {
  for (const [name, load] of [
    ['one region', ONE_REGION],
    ['six domains', SIX_DOMAINS],
  ] as const) {
    // Guards against a retry budget that is split into shares below one.
    it(`go on by lent retries: ${name}`, () => {
      const before = runOutages(load);
      const after = runOutages({...load, ...LENDING});
      assert.ok(countLost(before) > 0.15 * before.streams);
      assert.ok(countLost(after) < 0.35 * countLost(before));
    });

    it(`pause less when engines fall silent: ${name}`, () => {
      const silent = {...load, outages: 'silence'} as const;
      const before = runOutages(silent);
      const after = runOutages({...silent, ...LENDING});
      assert.ok(after.paused < 0.35 * before.paused);
    });

    it(`lose nothing without outages: ${name}`, () => {
      const calm = {...load, outages: 'none'} as const;
      assert.equal(countLost(runOutages(calm)), 0);
      assert.equal(countLost(runOutages({...calm, ...LENDING})), 0);
    });
  }

  // Guards against refusals while most engines have room.
  it('are not refused as an engine accepts no connection', () => {
    const before = runOutages({...ONE_REGION, isLending: true});
    const after = runOutages({...ONE_REGION, ...LENDING});
    assert.ok(after.refused < 0.3 * before.refused);
  });

  // Guards against first events that are all late beyond the capacity.
  it('are refused at once where they would be late', () => {
    const load = {...ONE_REGION, ...LENDING, engines: 26};
    for (const outages of ['none', 'restart'] as const) {
      const before = runSeeds({...load, outages});
      const after = runSeeds({...load, outages, maxTargets: 1.25});
      assert.ok(before.late > 0.25 * before.streams, `${before.late}`);
      assert.ok(after.late < 0.4 * before.late, `${after.late}`);
      assert.ok(countLost(after) < 0.85 * countLost(before));
    }
  });

  it('are not refused while there is capacity', () => {
    for (const outages of ['none', 'restart', 'silence'] as const) {
      const load = {...SIX_DOMAINS, ...LENDING, outages};
      const before = runOutages(load);
      assert.deepEqual(runOutages({...load, maxTargets: 1.25}), before);
    }
  });
});
