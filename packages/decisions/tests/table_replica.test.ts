/** Tests of table replicas that are fed from several sources. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableReplica, type ReplicaRow} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

function createRow(
  key: string,
  revision: number,
  value: string | undefined = `${key}${revision}`,
): ReplicaRow {
  return {key, value, revision};
}

/** Histories of changes with consecutive revisions. */
const histories = fc
  .array(fc.record({key: fc.constantFrom('a', 'b', 'c'), isPut: fc.boolean()}))
  .map((changes) =>
    changes.map(({key, isPut}, at) =>
      createRow(key, at + 1, isPut ? `${key}${at + 1}` : undefined),
    ),
  );

function listNaively(history: readonly ReplicaRow[]): Map<string, string> {
  const values = new Map<string, string>();
  for (const {key, value} of history) {
    if (value === undefined) values.delete(key);
    else values.set(key, value);
  }
  return values;
}

function listValues(replica: TableReplica): Map<string, string> {
  return new Map(replica.listAll().map((row) => [row.key, row.value ?? '']));
}

function sortEntries(values: Map<string, string>): [string, string][] {
  return [...values].sort(([a], [b]) => (a < b ? -1 : 1));
}

describe('TableReplica', () => {
  it('reflects the history, even if changes are repeated or late', () => {
    fc.assert(
      fc.property(histories, fc.array(fc.nat()), (history, extra) => {
        const replica = new TableReplica();
        replica.applyAll([], 0);
        for (const [at, row] of history.entries()) {
          replica.applyChanges([row], at + 1);
          const old = history[(extra[at] ?? 0) % (at + 1)];
          if (old !== undefined) replica.applyChanges([old], old.revision);
        }
        const expected = sortEntries(listNaively(history));
        assert.deepEqual(sortEntries(listValues(replica)), expected);
        assert.equal(replica.revision, history.length);
      }),
      RUN_OPTIONS,
    );
  });

  it('brings another replica up to date by the changes after a revision', () => {
    fc.assert(
      fc.property(histories, fc.nat(), (history, cut) => {
        const at = history.length === 0 ? 0 : cut % history.length;
        const one = new TableReplica();
        const two = new TableReplica();
        for (const replica of [one, two]) replica.applyAll([], 0);
        one.applyChanges(history, history.length);
        two.applyChanges(history.slice(0, at), at);
        const missing = one.listAfter(two.revision) ?? [];
        two.applyChanges(missing, one.revision);
        const expected = sortEntries(listValues(one));
        assert.deepEqual(sortEntries(listValues(two)), expected);
      }),
      RUN_OPTIONS,
    );
  });

  it('misses nothing after a full read whose pages are of different moments', () => {
    const moments = fc.tuple(fc.nat(), fc.nat(), fc.nat());
    fc.assert(
      fc.property(histories, moments, (history, cuts) => {
        const ends = cuts.map((cut) => cut % (history.length + 1));
        ends.sort((a, b) => a - b);
        const rows: ReplicaRow[] = [];
        for (const [at, key] of ['a', 'b', 'c'].entries()) {
          const seen = history.slice(0, ends[at]).filter((r) => r.key === key);
          const last = seen.at(-1);
          if (last?.value !== undefined) rows.push(last);
        }
        const replica = new TableReplica();
        replica.applyAll(rows, ends[0] ?? 0);
        // Changes from other hosts follow the last change of the replica.
        const {lastChange} = replica;
        const changes = history.filter(({revision}) => revision > lastChange);
        replica.applyChanges(changes, history.length);
        const expected = sortEntries(listNaively(history));
        assert.deepEqual(sortEntries(listValues(replica)), expected);
      }),
      RUN_OPTIONS,
    );
  });

  it('deletes rows that a full read lacks', () => {
    const replica = new TableReplica();
    replica.applyAll([createRow('a', 1), createRow('b', 2)], 2);
    const applied = replica.applyAll([createRow('b', 2)], 5);
    assert.deepEqual(applied, [{key: 'a', value: undefined, revision: 5}]);
    assert.equal(replica.lastChange, 5);
  });

  it('ignores an older full read', () => {
    const replica = new TableReplica();
    replica.applyAll([createRow('a', 7)], 9);
    assert.deepEqual(replica.applyAll([createRow('a', 3)], 4), []);
    assert.equal(replica.revision, 9);
  });

  it('lists no changes if rows were deleted before its first full read', () => {
    const other = new TableReplica();
    other.applyAll([createRow('a', 1), createRow('b', 2)], 2);
    const replica = new TableReplica();
    replica.applyAll([createRow('b', 2)], 5);
    assert.equal(replica.listAfter(other.lastChange), undefined);
  });

  it('lists no changes before its first full read', () => {
    const replica = new TableReplica();
    replica.applyChanges([createRow('a', 3)], 3);
    assert.equal(replica.listAfter(0), undefined);
  });
});
