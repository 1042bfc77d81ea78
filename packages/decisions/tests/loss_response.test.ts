/** Tests of the decision what to do after a lost stream. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  computeAttachPauseMs,
  decideLossResponse,
  isLossCounted,
  type LossKind,
  type LossResponse,
  type LossState,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const KINDS: readonly LossKind[] = [
  'gap',
  'gone',
  'refused',
  'reset',
  'silent',
  'stalled',
  'unreachable',
  'superseded',
];

function createState(change: Partial<LossState> = {}): LossState {
  return {
    loss: 'reset',
    mayHaveRun: true,
    mayContinue: true,
    attachAttempts: 0,
    losses: 0,
    hasRetryBudget: true,
    ...change,
  };
}

const CASES: readonly {
  readonly name: string;
  readonly state: Partial<LossState>;
  readonly want: LossResponse;
}[] = [
  {name: 'attaches again after a reset', state: {}, want: 'attach'},
  {
    name: 'leaves a silent engine at once',
    state: {loss: 'silent'},
    want: 'continue',
  },
  {
    name: 'attaches no third time',
    state: {attachAttempts: 2},
    want: 'continue',
  },
  {
    name: 'attaches a third time if nothing else may continue the answer',
    state: {attachAttempts: 2, mayContinue: false},
    want: 'attach',
  },
  {
    name: 'gives up attaching to an answer that may not continue',
    state: {attachAttempts: 7, mayContinue: false},
    want: 'give_up_unknown',
  },
  {
    name: 'abandons a request that another host took over',
    state: {loss: 'superseded', mayContinue: false},
    want: 'abandon',
  },
  {
    name: 'gives up as unknown what may have run and may not continue',
    state: {loss: 'silent', mayContinue: false},
    want: 'give_up_unknown',
  },
  {
    name: 'continues a refused request elsewhere though it may not be repeated',
    state: {loss: 'refused', mayHaveRun: false, mayContinue: false},
    want: 'continue',
  },
  {
    name: 'gives up as not run what never ran',
    state: {loss: 'refused', mayHaveRun: false, hasRetryBudget: false},
    want: 'give_up_not_run',
  },
];

describe('decideLossResponse', () => {
  for (const {name, state, want} of CASES) {
    it(name, () => {
      assert.equal(decideLossResponse(createState(state)), want);
    });
  }

  it('never continues what may have run and may not continue', () => {
    fc.assert(
      fc.property(
        fc.record({
          loss: fc.constantFrom(...KINDS),
          mayHaveRun: fc.constant(true),
          mayContinue: fc.constant(false),
          attachAttempts: fc.nat(4),
          losses: fc.nat(10),
          hasRetryBudget: fc.boolean(),
        }),
        (state) => {
          const response = decideLossResponse(state);
          assert.notEqual(response, 'continue');
          assert.notEqual(response, 'give_up_not_run');
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('gives up after a bounded number of losses', () => {
    fc.assert(
      fc.property(fc.constantFrom(...KINDS), (loss) => {
        let attachAttempts = 0;
        for (let losses = 0; losses <= 12; losses++) {
          const state = createState({loss, losses, attachAttempts});
          const response = decideLossResponse(state);
          if (response === 'attach') attachAttempts++;
          else if (response !== 'continue') return;
        }
        assert.fail('never gave up');
      }),
      RUN_OPTIONS,
    );
  });
});

describe('computeAttachPauseMs', () => {
  it('pauses only before attempts beyond the first two', () => {
    const pauses = [1, 2, 3, 4, 7].map(computeAttachPauseMs);
    assert.deepEqual(pauses, [0, 0, 100, 200, 1600]);
  });
});

describe('isLossCounted', () => {
  for (const loss of KINDS) {
    const isFree = loss === 'unreachable';
    it(`${loss} ${isFree ? 'is ignored' : 'counts'} once it may have run`, () => {
      assert.equal(isLossCounted(loss, true), !isFree);
    });
    it(`${loss} counts if nothing ran`, () => {
      assert.equal(isLossCounted(loss, false), true);
    });
  }
});
