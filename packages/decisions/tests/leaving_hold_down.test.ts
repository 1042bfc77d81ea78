/** Tests that a contradictory host list sends no work to leaving hosts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LeavingHoldDown, type AddressState} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const HOLD_MS = 5000;

function createHost(state: AddressState['state'], address = 'a'): AddressState {
  return {address, state};
}

describe('LeavingHoldDown', () => {
  const cases: readonly {
    name: string;
    /** The times at which lists are read, and the states in them. */
    reads: readonly (readonly [number, readonly AddressState['state'][]])[];
    want: AddressState['state'] | undefined;
  }[] = [
    {name: 'keeps the listed state', reads: [[0, ['live']]], want: 'live'},
    {
      name: 'prefers leaving if a host is listed twice',
      reads: [[0, ['leaving', 'live']]],
      want: 'leaving',
    },
    {
      name: 'holds the leaving state when an older replica is read',
      reads: [
        [0, ['leaving']],
        [HOLD_MS, ['live']],
      ],
      want: 'leaving',
    },
    {
      name: 'returns to live after the hold-down time',
      reads: [
        [0, ['leaving']],
        [HOLD_MS + 1, ['live']],
      ],
      want: 'live',
    },
    {
      name: 'restarts the hold-down time when seen leaving again',
      reads: [
        [0, ['leaving']],
        [4000, ['leaving']],
        [8000, ['live']],
      ],
      want: 'leaving',
    },
    {
      name: 'adds no host that is no longer listed',
      reads: [
        [0, ['leaving']],
        [100, []],
      ],
      want: undefined,
    },
  ];
  for (const {name, reads, want} of cases) {
    it(name, () => {
      const holdDown = new LeavingHoldDown<AddressState>(HOLD_MS);
      let last: AddressState[] = [];
      for (const [at, states] of reads) {
        last = holdDown.apply(
          states.map((state) => createHost(state)),
          at,
        );
      }
      assert.equal(last[0]?.state, want);
      assert.ok(last.length <= 1);
    });
  }

  it('returns the same states for any order of the list', () => {
    const host = fc.record({
      address: fc.constantFrom('a', 'b', 'c'),
      state: fc.constantFrom<AddressState['state']>('live', 'leaving'),
    });
    fc.assert(
      fc.property(fc.array(host, {maxLength: 8}), fc.nat(), (list, turn) => {
        const rotated = list.map((_, at) => list[(at + turn) % list.length]);
        const given = rotated.filter((each) => each !== undefined);
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
