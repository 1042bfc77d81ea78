/** Events in which an engine is silent and others fail come from a seed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import {planHandovers} from '@irisdock/soak';
import {STREAM_FAULTS} from '@irisdock/users-platform/fixtures';

const LENGTH_MS = 9000;
const MANY_SEEDS = 50;
/** How long a sound engine may be silent, in ms. */
const SHORTEST_SILENCE_MS = 300;
const LONGEST_SILENCE_MS = 2000;

function createPlan(seed: number): ReturnType<typeof planHandovers> {
  return planHandovers(new SeededRandom(seed), LENGTH_MS);
}

describe('handover events of the soak', () => {
  it('are the same from a seed, and of all kinds from many', () => {
    assert.deepEqual(createPlan(5), createPlan(5));
    const kinds = new Set<string>();
    for (let seed = 0; seed < MANY_SEEDS; seed++) {
      for (const {kind, forMs} of createPlan(seed)) {
        kinds.add(kind);
        assert.ok(forMs >= SHORTEST_SILENCE_MS);
        assert.ok(forMs <= LONGEST_SILENCE_MS);
      }
    }
    assert.equal(kinds.size, 2 * STREAM_FAULTS.length);
  });
});
