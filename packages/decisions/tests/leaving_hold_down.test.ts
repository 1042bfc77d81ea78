/** A list that contradicts itself sends no work to who leaves. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeavingHoldDown, type AddressState} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const HOLD_MS = 5000;

function createHost(state: AddressState['state'], address = 'a'): AddressState {
  return {address, state};
}

describe('LeavingMemory', () => {
  const cases: readonly {
    name: string;
    /** Lists and when they are read. */
    reads: readonly (readonly [number, readonly AddressState['state'][]])[];
    want: AddressState['state'] | undefined;
  }[] = [
    {name: 'takes a host as it is', reads: [[0, ['live']]], want: 'live'},
    {
      name: 'takes leaving first, however often a host is named',
      reads: [[0, ['leaving', 'live']]],
      want: 'leaving',
    },
    {
      name: 'keeps it leaving when an older copy is read',
      reads: [
        [0, ['leaving']],
        [HOLD_MS, ['live']],
      ],
      want: 'leaving',
    },
    {
      name: 'takes it back when it stays live',
      reads: [
        [0, ['leaving']],
        [HOLD_MS + 1, ['live']],
      ],
      want: 'live',
    },
    {
      name: 'counts from the last time it was seen leaving',
      reads: [
        [0, ['leaving']],
        [4000, ['leaving']],
        [8000, ['live']],
      ],
      want: 'leaving',
    },
    {
      name: 'invents no host',
      reads: [
        [0, ['leaving']],
        [100, []],
      ],
      want: undefined,
    },
  ];
  for (const {name, reads, want} of cases) {
    it(name, () => {
      const memory = new LeavingHoldDown<AddressState>(HOLD_MS);
      let last: AddressState[] = [];
      for (const [at, states] of reads) {
        last = memory.apply(
          states.map((state) => createHost(state)),
          at,
        );
      }
      assert.equal(last[0]?.state, want);
      assert.ok(last.length <= 1);
    });
  }

  it('gives the same for a list in any order', () => {
    const host = fc.record({
      address: fc.constantFrom('a', 'b', 'c'),
      state: fc.constantFrom<AddressState['state']>('live', 'leaving'),
    });
    fc.assert(
      fc.property(fc.array(host, {maxLength: 8}), fc.nat(), (list, turn) => {
        const turned = list.map((_, at) => list[(at + turn) % list.length]);
        const given = turned.filter((each) => each !== undefined);
        const [one, other] = [list, given].map((each) => {
          const merged = new LeavingHoldDown<AddressState>(0).apply(each, 0);
          return merged.map((h) => `${h.address} ${h.state}`).sort();
        });
        assert.deepEqual(one, other);
      }),
      RUN_OPTIONS,
    );
  });
});
