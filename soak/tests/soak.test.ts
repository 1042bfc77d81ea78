/**
 * A short soak in CI: some seeds that cover every part of the deployment, and
 * each seed that ever failed, with its cause.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {ALL_FAULT_KINDS, planFaults, runPlay, USUAL_PLAY} from '@irisdock/soak';

/** Seeds that are played in CI, and what each of them found. */
const SEEDS: readonly (readonly [number, string])[] = [
  [1, 'streams left a paused engine for ones that reset them'],
  [2, 'streams left a frozen engine for ones that reset them'],
  [3, 'windows of usage were left out after a restore of the store'],
  [22, 'orders of both kinds exceeded the maximum of a failure domain'],
  [
    10,
    'streams of several hosts left silent engines and used up their attempts',
  ],
];

/** How versions stood at the losses of all hosts. */
const LOSS_KINDS = [
  'both versions serve',
  'one version drains',
  'one version is gone',
  'one version leaves',
];

describe('the soak', () => {
  const lossKinds = new Set<string>();
  for (const [seed, found] of SEEDS) {
    it(`breaks no promise with seed ${seed}, which found: ${found}`, async () => {
      const report = await runPlay(seed, USUAL_PLAY);
      const {broken, counts, checkedWindows, loss} = report;
      if (loss !== undefined) lossKinds.add(loss.kind);
      assert.deepEqual(broken, []);
      assert.ok(counts.answered > 0);
      assert.ok(checkedWindows > 0, 'windows of usage were checked');
    });
  }

  // Guards against seeds that leave out the version that a loss joined.
  it('loses all hosts beside versions that serve, drain, leave and are gone', () => {
    assert.deepEqual([...lossKinds].sort(), LOSS_KINDS);
  });

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
