/** Revisions of a store that comes back from older copies, and copies of it. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createRevision,
  formatRevision,
  getChangeNumber,
  getEra,
  getSettledRevision,
  TableReplica,
  type ReplicaRow,
} from '@irisdock/decisions';
import fc from 'fast-check';
import {RUN_OPTIONS} from './run_options.js';

const ERAS = fc.integer({min: 0, max: 4095});
const CHANGES = fc.integer({min: 0, max: 2 ** 40 - 1});

function createRow(
  key: string,
  era: number,
  change: number,
  value: string | undefined = key,
): ReplicaRow {
  return {key, value, revision: createRevision(era, change)};
}

/** A copy in era 1 of a table with rows `a` and `b`, where `c` was deleted. */
function createCopy(): TableReplica {
  const replica = new TableReplica();
  const rows = [createRow('a', 1, 1), createRow('b', 1, 5)];
  replica.applyAll([...rows, createRow('c', 1, 6)], createRevision(1, 6));
  const deletion = {...createRow('c', 1, 7), value: undefined};
  replica.applyChanges([deletion], createRevision(1, 7));
  return replica;
}

function listKeys(replica: TableReplica): string[] {
  return replica
    .listAll()
    .map(({key}) => key)
    .sort();
}

describe('a revision', () => {
  it('is ordered by the era first, and keeps both', () => {
    fc.assert(
      fc.property(
        ERAS,
        CHANGES,
        ERAS,
        CHANGES,
        (era, change, era2, change2) => {
          const one = createRevision(era, change);
          const two = createRevision(era2, change2);
          const order = era - era2 || change - change2;
          assert.equal(Math.sign(one - two), Math.sign(order));
          assert.equal(getEra(one), era);
          assert.equal(getChangeNumber(one), change);
        },
      ),
      RUN_OPTIONS,
    );
  });

  it('of what a settled table shows is between two changes', () => {
    fc.assert(
      fc.property(ERAS, CHANGES, (era, change) => {
        const revision = createRevision(era, change);
        const settled = getSettledRevision(revision);
        assert.ok(settled > revision && settled < revision + 1);
        assert.equal(getChangeNumber(settled), change);
        assert.equal(getEra(settled), era);
      }),
      RUN_OPTIONS,
    );
  });

  it('is shown without the era of a store that was never restored', () => {
    assert.equal(formatRevision(createRevision(0, 54)), '54');
    assert.equal(formatRevision(createRevision(2, 54)), '2.54');
  });
});

describe('a copy of a table of a restored store', () => {
  it('takes lower changes of the new era', () => {
    const replica = createCopy();
    const row = createRow('a', 2, 2, 'new');
    replica.applyRestored([row], createRevision(2, 2));
    assert.equal(replica.find('a')?.value, 'new');
    assert.equal(replica.lastChange, row.revision);
  });

  it('keeps rows that the store lacks, and deleted ones deleted', () => {
    const replica = createCopy();
    const restored = [createRow('a', 2, 1), createRow('c', 2, 3)];
    replica.applyRestored(restored, createRevision(2, 3));
    assert.deepEqual(listKeys(replica), ['a', 'b']);
    assert.equal(replica.isInCurrentEra('a'), true);
    assert.equal(replica.isInCurrentEra('b'), false);
  });

  it('goes by the store once its writers could write again', () => {
    const replica = createCopy();
    const restored = [createRow('a', 2, 1), createRow('c', 2, 3)];
    const revision = createRevision(2, 3);
    replica.applyRestored(restored, revision);
    const news = replica.applySettled(restored, revision);
    assert.deepEqual(listKeys(replica), ['a', 'c']);
    const changed = news.map(({key}) => key).sort();
    assert.deepEqual(changed, ['b', 'c']);
    assert.ok(replica.lastChange > revision);
    // Who holds all changes up to the restored one is given both.
    const given = replica.listAfter(revision)?.map(({key}) => key);
    assert.deepEqual(given?.sort(), ['b', 'c']);
  });

  it('is settled by a read that later changes have overtaken', () => {
    const replica = createCopy();
    const restored = [createRow('a', 2, 1), createRow('c', 2, 3)];
    const revision = createRevision(2, 3);
    replica.applyRestored(restored, revision);
    const later = [createRow('d', 2, 8), createRow('e', 2, 9)];
    replica.applyChanges(later, createRevision(2, 9));
    const held = replica.lastChange;
    replica.applySettled(restored, revision);
    assert.deepEqual(listKeys(replica), ['a', 'c', 'd', 'e']);
    const given = replica.listAfter(held)?.map(({key}) => key);
    assert.deepEqual(given?.sort(), ['b', 'c']);
  });

  it('keeps what was deleted after the read that settles it', () => {
    const replica = createCopy();
    const restored = [createRow('a', 2, 1)];
    const revision = createRevision(2, 3);
    replica.applyRestored(restored, revision);
    const deletion = {...createRow('a', 2, 8), value: undefined};
    replica.applyChanges([deletion], createRevision(2, 8));
    replica.applySettled(restored, revision);
    assert.deepEqual(listKeys(replica), []);
  });

  it('leaves no row at who has one that it never had itself', () => {
    const other = createCopy();
    other.applyChanges([createRow('d', 1, 8)], createRevision(1, 8));
    const replica = createCopy();
    const restored = [createRow('a', 2, 1), createRow('b', 2, 5)];
    replica.applyRestored(restored, createRevision(2, 5));
    const changes = replica.listAfter(other.lastChange);
    assert.equal(changes, undefined);
    other.applyAll(replica.listAll(), replica.revision);
    assert.deepEqual(listKeys(other), ['a', 'b']);
  });
});
