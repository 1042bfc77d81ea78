/**
 * The configuration of a host never goes back, and converges whatever the order
 * of changes; and the decision whether a host may serve during an outage.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ConfigurationState,
  decideServing,
  isChangeAllowed,
  type ContactState,
  type ServingDecision,
} from '@irisdock/decisions';
import type {Change} from '@irisdock/resources';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createChange(revision: number, deletes = false): Change {
  const name = `t${revision % 4}`;
  return {
    revision,
    operationId: `o${revision}`,
    actor: 'tests',
    at: revision,
    action: deletes ? 'delete' : 'put',
    kind: 'team',
    name,
    fromVersion: 0,
    toVersion: deletes ? 0 : revision,
    spec: deletes ? null : {weight: revision},
  };
}

const CHANGES = Array.from({length: 12}, (_, index) =>
  createChange(index + 1, index % 5 === 4),
);

/** A baseline that keeps the change that arrived last for each name. */
function applyNaively(deliveries: readonly Change[]): string {
  const kept = new Map<string, unknown>();
  for (const change of deliveries) {
    if (change.action === 'delete') kept.delete(change.name);
    else kept.set(change.name, change.spec);
  }
  return JSON.stringify([...kept].sort());
}

function formatState(state: ConfigurationState): string {
  const entries = [...state.list()].map((r) => [r.name, r.spec]);
  return JSON.stringify(entries.sort());
}

const IN_ORDER = applyNaively(CHANGES);

describe('ConfigurationState', () => {
  it('never goes back and converges, however changes arrive', () => {
    const deliveries = fc.array(fc.nat(CHANGES.length - 1), {maxLength: 60});
    let naiveFailures = 0;
    fc.assert(
      fc.property(deliveries, (order) => {
        const state = new ConfigurationState(100);
        const delivered = order.flatMap((index) => CHANGES[index] ?? []);
        for (const change of delivered) {
          const before = state.revision;
          state.applyChange(change);
          assert.ok(state.revision >= before);
        }
        for (const change of CHANGES) state.applyChange(change);
        assert.equal(formatState(state), IN_ORDER);
        if (
          applyNaively([...delivered, ...CHANGES, ...delivered]) !== IN_ORDER
        ) {
          naiveFailures++;
        }
      }),
      RUN_OPTIONS,
    );
    assert.ok(naiveFailures > 0, 'the baseline must go back in some run');
  });

  it('rejects a snapshot older than the current revision', () => {
    const state = new ConfigurationState(100);
    for (const change of CHANGES) state.applyChange(change);
    const old = {revision: 3, resources: []};
    assert.equal(state.applySnapshot(old), 'old');
    assert.equal(formatState(state), IN_ORDER);
  });

  it('returns the changes after a revision if they are still known', () => {
    const state = new ConfigurationState(5);
    for (const change of CHANGES) state.applyChange(change);
    const last = state.getChangesAfter(9);
    assert.deepEqual(
      last?.map((change) => change.revision),
      [10, 11, 12],
    );
    assert.equal(state.getChangesAfter(3), undefined);
    assert.deepEqual(state.getChangesAfter(12), []);
  });

  it('reports a missing change', () => {
    const state = new ConfigurationState(5);
    assert.equal(state.applyChange(createChange(2)), 'gap');
    assert.equal(state.applyChange(createChange(1)), 'applied');
    assert.equal(state.applyChange(createChange(1)), 'old');
  });
});

describe('decideServing', () => {
  const base: ContactState = {
    configured: true,
    tableAgeMs: 100,
    hostsHeard: 9,
    hostsKnown: 9,
    maxTableAgeMs: 8000,
  };
  const cases: readonly {
    name: string;
    state: Partial<ContactState>;
    want: ServingDecision;
  }[] = [
    {name: 'serves if the table can be read', state: {}, want: 'serve'},
    {
      name: 'keeps serving in an outage of the platform',
      state: {tableAgeMs: 60_000, hostsHeard: 5},
      want: 'serve_in_outage',
    },
    {
      name: 'refuses if it is cut off from most hosts',
      state: {tableAgeMs: 60_000, hostsHeard: 4},
      want: 'refuse_cut_off',
    },
    {
      name: 'refuses without a configuration',
      state: {configured: false},
      want: 'refuse_no_configuration',
    },
    {
      name: 'refuses if it hears exactly half of the hosts',
      state: {tableAgeMs: 60_000, hostsHeard: 4, hostsKnown: 8},
      want: 'refuse_cut_off',
    },
  ];
  for (const {name, state, want} of cases) {
    it(name, () => {
      assert.equal(decideServing({...base, ...state}), want);
    });
  }

  it('never serves on one side of a partition while the other changes', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 30}),
        fc.nat(30),
        fc.nat(30),
        (hostsKnown, a, b) => {
          // Only the hosts of side B can reach the table.
          const sideA = Math.min(a, hostsKnown);
          const sideB = Math.min(b, hostsKnown - sideA);
          const cutOff = {...base, hostsKnown, tableAgeMs: 60_000};
          const right = decideServing({...cutOff, hostsHeard: sideA});
          const reaching = {...base, hostsKnown, hostsHeard: sideB};
          if (isChangeAllowed(reaching)) assert.notEqual(right, 'serve');
          if (isChangeAllowed(reaching)) {
            assert.notEqual(right, 'serve_in_outage');
          }
        },
      ),
      RUN_OPTIONS,
    );
  });
});
