/**
 * How many sound streams are refused because engines ended under them, each for a
 * reason of its own, at the rates at which engines are lost.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashSimulation, type CrashPlay} from './fixtures/crash_simulation.js';

const SEEDS = [1, 2, 3];
/** Short streams on a fleet of a usual size. */
const SHORT: Omit<CrashPlay, 'seed'> = {
  seconds: 600,
  engines: 25,
  domains: 3,
  streamsPerSecond: 6.5,
  streamSeconds: 5,
  engineLifeSeconds: 600,
};

function countRefused(play: Omit<CrashPlay, 'seed'>): number {
  let refused = 0;
  for (const seed of SEEDS) {
    refused += new CrashSimulation({...play, seed}).run().refused;
  }
  return refused;
}

describe('a sound stream of seconds', () => {
  it('is never refused where each engine ends once in ten minutes', () => {
    assert.equal(countRefused(SHORT), 0);
  });

  it('is never refused where a failure domain is lost each 7 s too', () => {
    assert.equal(countRefused({...SHORT, domainLossSeconds: 7}), 0);
  });
});

describe('a sound stream of minutes', () => {
  it('is not refused where domains are lost once in 70 s', () => {
    const refused = countRefused({
      ...SHORT,
      streamsPerSecond: 1,
      streamSeconds: 100,
      engineLifeSeconds: 3600,
      domainLossSeconds: 70,
    });
    assert.equal(refused, 0);
  });
});
