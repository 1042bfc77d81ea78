/** A request that is not repeatable starts at most once. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createRequestId,
  decideOwner,
  decideOwnerNaively,
  parseRequestId,
  Signer,
  type OwnerDecision,
  type OwnerState,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const SIGNER = new Signer('a key for tests only');
const HOSTS = ['a', 'b', 'c'];

function createId(hostId: string, incarnation: string, mintedAt = 100): string {
  const minted = {hostId, incarnation, mintedAt, serial: 7};
  return createRequestId(minted, SIGNER);
}

function createState(change: Partial<OwnerState> = {}): OwnerState {
  return {
    id: parseRequestId(createId('a', '1'), SIGNER),
    repeatable: false,
    resuming: false,
    hasResumeData: false,
    self: {hostId: 'a', incarnation: '1'},
    ledger: undefined,
    liveOwnerIncarnation: '1',
    nowSeconds: 110,
    startWithinSeconds: 300,
    ...change,
  };
}

const CASES: readonly {
  readonly name: string;
  readonly state: Partial<OwnerState>;
  readonly want: OwnerDecision;
}[] = [
  {name: 'the owner starts', state: {}, want: 'start'},
  {name: 'a second send joins', state: {ledger: 'running'}, want: 'join'},
  {
    name: 'another host sends the caller to the owner',
    state: {self: {hostId: 'b', incarnation: '1'}},
    want: 'redirect',
  },
  {
    name: 'the owner that started anew cannot tell',
    state: {self: {hostId: 'a', incarnation: '2'}},
    want: 'refuse_unknown',
  },
  {
    name: 'another host cannot tell once the owner is gone',
    state: {
      self: {hostId: 'b', incarnation: '1'},
      liveOwnerIncarnation: undefined,
    },
    want: 'refuse_unknown',
  },
  {
    name: 'a repeatable request is started when its owner is gone',
    state: {
      self: {hostId: 'b', incarnation: '1'},
      liveOwnerIncarnation: undefined,
      repeatable: true,
    },
    want: 'start',
  },
  {
    name: 'resume data lets another host take over',
    state: {self: {hostId: 'b', incarnation: '1'}, hasResumeData: true},
    want: 'take_over',
  },
  {
    name: 'an old id is not started',
    state: {nowSeconds: 1000},
    want: 'refuse_expired',
  },
  {
    name: 'an id of the caller is not bound to a host',
    state: {id: parseRequestId('mine', SIGNER)},
    want: 'refuse_unbound',
  },
  {
    name: 'a forged id is refused',
    state: {id: parseRequestId(`${createId('a', '1')}x`, SIGNER)},
    want: 'refuse_forged',
  },
];

/** One thing that happens in a run with several hosts. */
type Step =
  | {
      readonly kind: 'believe';
      readonly host: number;
      readonly live: string | undefined;
    }
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'send'; readonly host: number}
  | {readonly kind: 'wait'; readonly seconds: number};

const STEPS: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof<fc.Arbitrary<Step>[]>(
    fc.record({kind: fc.constant('send' as const), host: fc.nat(2)}),
    fc.record({kind: fc.constant('restart' as const), host: fc.nat(2)}),
    fc.record({
      kind: fc.constant('believe' as const),
      host: fc.nat(2),
      // What the host believes of the owner; it may be wrong.
      live: fc.constantFrom('1', '2', undefined),
    }),
    fc.record({kind: fc.constant('wait' as const), seconds: fc.nat(400)}),
  ),
  {maxLength: 25},
);

interface ModelHost {
  incarnation: number;
  ledger: Map<string, number>;
  believed: string | undefined;
}

/** Plays the steps; gives how often the request was started. */
function countStarts(
  steps: readonly Step[],
  decide: (state: OwnerState) => OwnerDecision,
): number {
  const hosts = HOSTS.map((): ModelHost => ({
    incarnation: 1,
    ledger: new Map(),
    believed: '1',
  }));
  const id = createId('a', '1');
  let now = 100;
  let starts = 0;
  for (const step of steps) {
    if (step.kind === 'wait') {
      now += step.seconds;
      continue;
    }
    const host = hosts[step.host];
    if (host === undefined) continue;
    if (step.kind === 'restart') {
      host.incarnation++;
      host.ledger = new Map();
    }
    if (step.kind === 'believe') host.believed = step.live;
    if (step.kind !== 'send') continue;
    const startedAt = host.ledger.get(id);
    // The ledger forgets a minute after an id may start no more.
    const remembered = startedAt !== undefined && now - startedAt < 360;
    const decision = decide(
      createState({
        id: parseRequestId(id, SIGNER),
        self: {
          hostId: HOSTS[step.host] ?? '',
          incarnation: String(host.incarnation),
        },
        ledger: remembered ? 'ended' : undefined,
        liveOwnerIncarnation: host.believed,
        nowSeconds: now,
      }),
    );
    if (decision !== 'start') continue;
    starts++;
    host.ledger.set(id, now);
  }
  return starts;
}

describe('decideOwner', () => {
  for (const {name, state, want} of CASES) {
    it(name, () => {
      assert.equal(decideOwner(createState(state)), want);
    });
  }

  it('starts at most once, whatever hosts believe and however they die', () => {
    fc.assert(
      fc.property(STEPS, (steps) => {
        assert.ok(countStarts(steps, decideOwner) <= 1);
      }),
      RUN_OPTIONS,
    );
  });

  it('is needed: the naive way starts more than once', () => {
    const sends = [0, 1].map((host) => ({kind: 'send' as const, host}));
    assert.equal(countStarts(sends, decideOwnerNaively), 2);
  });
});
