/**
 * A short soak in CI: some seeds that cover every part of the deployment, and
 * each seed that ever failed, with its cause.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {ALL_FAULT_KINDS, planFaults, runPlay, USUAL_PLAY} from '@irisdock/soak';

/** Seeds that are played in CI. */
const SEEDS: readonly number[] = [1, 2, 3];

describe('the soak', () => {
  for (const seed of SEEDS) {
    it(`breaks no promise with seed ${seed}`, async () => {
      const {broken, counts} = await runPlay(seed, USUAL_PLAY);
      assert.deepEqual(broken, []);
      assert.ok(counts.answered > 0);
    });
  }

  it('draws the same faults from a seed, and all kinds from many', () => {
    const options = {lengthMs: 9000, faults: 9};
    const createPlan = (seed: number): ReturnType<typeof planFaults> =>
      planFaults(new SeededRandom(seed), options);
    assert.deepEqual(createPlan(5), createPlan(5));
    const kinds = new Set<string>();
    for (let seed = 0; seed < 50; seed++) {
      for (const {kind} of createPlan(seed)) kinds.add(kind);
    }
    assert.equal(kinds.size, ALL_FAULT_KINDS.length);
  });
});
