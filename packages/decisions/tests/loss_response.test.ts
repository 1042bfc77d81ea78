/** What follows a loss. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
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
  {name: 'a reset is attached to first', state: {}, want: 'attach'},
  {
    name: 'a silent engine is left at once',
    state: {loss: 'silent'},
    want: 'continue',
  },
  {
    name: 'a third attach is not made',
    state: {attachAttempts: 2},
    want: 'continue',
  },
  {
    name: 'what another host took over is abandoned',
    state: {loss: 'superseded', mayContinue: false},
    want: 'abandon',
  },
  {
    name: 'what may have run and may not continue is given up as unknown',
    state: {loss: 'silent', mayContinue: false},
    want: 'give_up_unknown',
  },
  {
    name: 'what was refused may go elsewhere though it may not be repeated',
    state: {loss: 'refused', mayHaveRun: false, mayContinue: false},
    want: 'continue',
  },
  {
    name: 'what never ran is given up as not run',
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

  it('never goes on elsewhere with what may have run and must not', () => {
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

  it('ends in a bounded number of steps when every step fails', () => {
    fc.assert(
      fc.property(fc.constantFrom(...KINDS), (loss) => {
        let attaches = 0;
        for (let losses = 0; losses <= 12; losses++) {
          const state = createState({loss, losses, attachAttempts: attaches});
          const response = decideLossResponse(state);
          if (response === 'attach') attaches++;
          else if (response !== 'continue') return;
        }
        assert.fail('never gave up');
      }),
      RUN_OPTIONS,
    );
  });
});

describe('isLossCounted', () => {
  for (const loss of KINDS) {
    const isFree = loss === 'unreachable';
    it(`${loss} ${isFree ? 'does not count' : 'counts'} once it may run`, () => {
      assert.equal(isLossCounted(loss, true), !isFree);
    });
    it(`${loss} counts before anything ran`, () => {
      assert.equal(isLossCounted(loss, false), true);
    });
  }
});
