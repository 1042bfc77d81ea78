/** The memory for all answers that are being read. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {BufferBudget, type BufferHold} from '../src/buffer_budget.js';

const RUN_OPTIONS = {seed: 4101, numRuns: 300};
const MAX_BYTES = 100;
const HOLDS = 10;

const steps = fc.array(
  fc.record({hold: fc.nat(HOLDS - 1), bytes: fc.nat(2 * MAX_BYTES)}),
);

describe('BufferBudget', () => {
  it('never holds more than its bound, and ends the largest', () => {
    fc.assert(
      fc.property(steps, (changes) => {
        const budget = new BufferBudget(MAX_BYTES);
        const held = new Map<number, number>();
        const holds = Array.from({length: HOLDS}, (_, index) => {
          held.set(index, 0);
          return budget.open(() => {
            const largest = Math.max(...held.values());
            assert.equal(held.get(index), largest);
            held.delete(index);
          });
        });
        for (const {hold, bytes} of changes) {
          if (held.has(hold)) held.set(hold, bytes);
          holds[hold]?.set(bytes);
          const sum = [...held.values()].reduce((one, two) => one + two, 0);
          assert.equal(budget.totalBytes, sum);
          assert.ok(sum <= MAX_BYTES);
        }
      }),
      RUN_OPTIONS,
    );
  });

  it('lets small answers be read beside fifty without end', () => {
    const budget = new BufferBudget(MAX_BYTES);
    let isSmallEnded = false;
    const small = budget.open(() => (isSmallEnded = true));
    small.set(1);
    const ended = new Set<BufferHold>();
    const endless = Array.from({length: 50}, () => {
      const hold: BufferHold = budget.open(() => ended.add(hold));
      return hold;
    });
    for (let bytes = 1; bytes <= MAX_BYTES + 1; bytes++) {
      for (const hold of endless) hold.set(bytes);
    }
    assert.equal(ended.size, endless.length);
    assert.equal(isSmallEnded, false);
    small.close();
    assert.equal(budget.totalBytes, 0);
  });
});
