/**
 * Guards against refusing sound streams: engines end for other reasons while
 * they run them, at realistic rates, alone or with their failure domain.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  CrashSimulation,
  type CrashScenario,
} from './fixtures/crash_simulation.js';

const SEEDS = [1, 2, 3];
/** Short streams on a fleet of typical size. */
const SHORT: Omit<CrashScenario, 'seed'> = {
  seconds: 600,
  engines: 25,
  domains: 3,
  streamsPerSecond: 6.5,
  streamSeconds: 5,
  engineLifeSeconds: 600,
};

function countRefused(scenario: Omit<CrashScenario, 'seed'>): number {
  let refused = 0;
  for (const seed of SEEDS) {
    refused += new CrashSimulation({...scenario, seed}).run().refused;
  }
  return refused;
}

describe('a sound stream of seconds', () => {
  it('is never refused if each engine ends once in ten minutes', () => {
    assert.equal(countRefused(SHORT), 0);
  });

  it('is never refused if a failure domain is lost every 7 s too', () => {
    assert.equal(countRefused({...SHORT, domainLossSeconds: 7}), 0);
  });
});

describe('a sound stream of minutes', () => {
  it('is not refused if a failure domain is lost every 70 s', () => {
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
