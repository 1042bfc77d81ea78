/**
 * Planned work among failures, with processes: hosts that leave and join,
 * engines that leave, and a configuration that changes all the while.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ALL_FAILURES} from '../src/hunt_failures.js';
import {runSeed} from '../src/hunt_play.js';

const SEEDS: readonly {seed: number; why: string}[] = [
  {seed: 1020, why: 'a host drained, two killed, one frozen'},
  {seed: 2018, why: 'a host drained in an outage, two engines killed'},
];

describe('planned work among failures breaks no promise', () => {
  for (const {seed, why} of SEEDS) {
    it(`seed ${seed}: ${why}`, async () => {
      const {faults, whole, changes} = await runSeed(seed, ALL_FAILURES);
      assert.deepEqual(faults, []);
      assert.ok(whole > 0);
      assert.ok(changes > 0);
    });
  }
});
