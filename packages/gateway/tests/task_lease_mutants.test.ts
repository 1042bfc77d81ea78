/**
 * Tests that the checker of calls under the lease of a task catches each
 * version that lacks a safeguard, and no other one in the same runs.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MUTANTS} from './fixtures/task_mutants.js';
import type {Variant} from './fixtures/task_process.js';
import {
  createAdverseFaults,
  createForcedFault,
  createRandomFaults,
  DENSE_RUN,
  TaskSimulation,
} from './fixtures/task_simulation.js';

const ONE_FAULT_IN = 60;
const MAX_NTH_WRITE = 7;
/** The writes of a holder in some 2 s of a dense run. */
const MAX_DENSE_WRITE = 40;
/** In how many runs of each plan a version must be caught. */
const MAX_RUNS = 200;

/** Runs a version under each plan of faults; returns the first violation. */
async function findViolation(
  seed: number,
  variant: Variant,
): Promise<string | undefined> {
  const nth = 1 + (seed % MAX_NTH_WRITE);
  const frozen = createForcedFault('write-answered', 'freeze', nth);
  const random = createRandomFaults(ONE_FAULT_IN);
  const denseNth = 1 + (seed % MAX_DENSE_WRITE);
  const close = createAdverseFaults(denseNth, false);
  const adverse = createAdverseFaults(denseNth, true);
  const runs = [
    new TaskSimulation(seed, variant, close, DENSE_RUN),
    new TaskSimulation(seed, variant, adverse, DENSE_RUN),
    new TaskSimulation(seed, variant, frozen),
    new TaskSimulation(seed, variant, random),
  ];
  for (const [index, run] of runs.entries()) {
    await run.run(index === runs.length - 1);
    const found = run.findViolation();
    if (found !== undefined) return found;
  }
  return undefined;
}

describe('calls under the lease of a task', () => {
  it('break no rule with all safeguards', async () => {
    for (let seed = 1; seed <= MAX_RUNS; seed++) {
      assert.equal(await findViolation(seed, {}), undefined, `seed ${seed}`);
    }
  });

  for (const [safeguard, variant] of Object.entries(MUTANTS)) {
    it(`break a rule without the safeguard: ${safeguard}`, async () => {
      for (let seed = 1; seed <= MAX_RUNS; seed++) {
        if ((await findViolation(seed, variant)) !== undefined) return;
      }
      assert.fail('the checker did not catch it');
    });
  }
});
