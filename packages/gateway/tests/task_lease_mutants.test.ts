/**
 * Tests that the checker of calls under the lease of a task catches each
 * version that lacks a safeguard, and nothing in the same runs of the product.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MUTANTS} from './fixtures/task_mutants.js';
import {runInThread} from './fixtures/task_runs_worker.js';

/** In how many runs of each plan a version must be caught. */
const SEEDS = 200;
const ORDER = {hasAdversePlans: true, firstSeed: 1, seeds: SEEDS};

describe('calls under the lease of a task', () => {
  it('break no rule with all safeguards', async () => {
    const {violation} = await runInThread(ORDER);
    assert.equal(violation, undefined);
  });

  for (const safeguard of Object.keys(MUTANTS)) {
    it(`break a rule without the safeguard: ${safeguard}`, async () => {
      const {violation} = await runInThread({...ORDER, safeguard});
      assert.notEqual(violation, undefined, 'the checker did not catch it');
    });
  }
});
