/** The rows of usage reports at the largest size of a deployment. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {UsageTotals} from '@irisdock/decisions';
import {
  createTextRows,
  findText,
  MAX_ROW_BYTES,
} from '../src/model/row_chunks.js';
import type {RowChange, TableRow} from '../src/model/table_store.js';
import {
  createStateRows,
  decodeUsageState,
  MAX_STATE_ROWS,
  USAGE_STATE_KEY,
  type UsageState,
} from '../src/model/usage_state.js';
import {UsageFleet} from './fixtures/usage_fleet.js';

const TEAMS = 7100;
/** More than a checkpoint has room for. */
const WINDOWS = 30;
/** What the store takes in a transaction. */
const MAX_ENTRIES = 100;

function getTeam(index: number): string {
  return `team-${index}`;
}

function readRows(rows: readonly RowChange[]): TableRow[] {
  return rows.map((row) => ({...row, revision: 1}));
}

function checkRowSizes(values: Iterable<string>): void {
  for (const value of values) {
    assert.ok(Buffer.byteLength(value) <= MAX_ROW_BYTES);
  }
}

describe('a long text', () => {
  // A row beyond the limit of the store would not be written at all.
  it('is split over rows and found again', () => {
    for (const text of [
      '',
      'x',
      'x'.repeat(100_000),
      '\u20ac'.repeat(40_000),
    ]) {
      const rows = createTextRows('state', text);
      checkRowSizes(rows.map(({value = ''}) => value));
      assert.equal(findText(readRows(rows), 'state'), text);
    }
  });

  // Half of a report would be sent as a whole one.
  it('is not found without one of its rows', () => {
    const rows = createTextRows('state', 'x'.repeat(100_000));
    const found = findText(readRows(rows.slice(0, -1)), 'state');
    assert.equal(found, '{"chunks":3}');
  });
});

describe('the rows of usage reports with 7,100 teams', () => {
  it('fit into the store, also when all hosts are lost', async () => {
    const fleet = new UsageFleet(['a', 'b', 'c', 'd']);
    await fleet.acquire('a');
    for (let index = 0; index < TEAMS; index++) {
      fleet.startRequest('d', getTeam(index));
    }
    await fleet.run(2000);
    for (const name of fleet.names) fleet.startHost(name);
    await fleet.acquire('b');
    fleet.startRequest('b', getTeam(0));
    await fleet.run(10_000);
    checkRowSizes(fleet.rows.values());
    assert.ok(fleet.mostEntries <= MAX_ENTRIES);
    const [report = {}] = fleet.listReports();
    assert.equal(Object.keys(report).length, TEAMS);
    assert.equal(report[getTeam(0)], 2);
    const isOfWindow = (key: string): boolean => key.includes('/0');
    assert.ok([...fleet.rows.keys()].some(isOfWindow));
    // The rows of the window are deleted together.
    await fleet.run(12 * 60_000);
    const left = [...fleet.rows.keys()].filter(isOfWindow);
    assert.deepEqual(
      left.filter((key) => !key.startsWith('state')),
      [],
    );
  });

  // A write with more entries would fail each time, and the lease be lost.
  it('are a bounded number after an outage of the store', () => {
    const windows = createWindows();
    const ids = {lostIds: [], reportedIds: []};
    const head = {era: 0, next: 0, unsent: [], ...ids};
    const rows = createStateRows({...head, windows, lost: {}});
    assert.ok(rows.length <= MAX_STATE_ROWS);
    const text = findText(readRows(rows), USAGE_STATE_KEY) ?? '';
    const kept = Object.keys((JSON.parse(text) as UsageState).windows);
    // More than a minute of windows, after which they are not reported.
    assert.ok(kept.length > 12, `${kept.length} windows`);
    assert.ok(kept.includes('0'));
  });

  // A lost host's reports were left out as if the checkpoint contained them.
  it('do not hide lost hosts of the windows that they leave out', () => {
    const windows = createWindows();
    const ids = {lostIds: ['1 a'], reportedIds: []};
    const head = {era: 0, next: 0, unsent: [], ...ids};
    const rows = createStateRows({...head, windows, lost: windows});
    const text = findText(readRows(rows), USAGE_STATE_KEY) ?? '';
    const totals = new UsageTotals();
    totals.setCheckpoint(decodeUsageState(text)._unsafeUnwrap());
    const counts = [0, WINDOWS - 1].map((window) => {
      return {window, team: getTeam(0), count: 99};
    });
    totals.accept({host: 'a', incarnation: 1, counts});
    const checkTotals = (collector: UsageTotals): void => {
      assert.equal(collector.computeTotals(0)[getTeam(0)], 99);
      const leftOut = collector.computeTotals(WINDOWS - 1);
      assert.deepEqual(leftOut, {[getTeam(0)]: 99});
    };
    checkTotals(totals);
    // The next holder, which knows the lost host too, or doesn't.
    for (const isKnown of [true, false]) {
      const next = new UsageTotals();
      next.setCheckpoint(totals.createCheckpoint(0));
      if (isKnown) next.accept({host: 'a', incarnation: 1, counts});
      checkTotals(next);
    }
  });
});

function createWindows(): Record<string, Record<string, number>> {
  const windows: Record<string, Record<string, number>> = {};
  for (let window = 0; window < WINDOWS; window++) {
    const counts: Record<string, number> = {};
    for (let index = 0; index < TEAMS; index++) counts[getTeam(index)] = 99;
    windows[window] = counts;
  }
  return windows;
}
