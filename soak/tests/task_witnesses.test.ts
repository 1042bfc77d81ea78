/** What breaks the rules of calls of singleton tasks, and of usage reports. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Disturbances,
  LEASE_MS,
  TaskCallWitness,
  UsageWitness,
  WINDOW_SECONDS,
  type Attempt,
} from '@irisdock/soak';

const WINDOW_MS = WINDOW_SECONDS * 1000;

type Sent = readonly [holder: string, fence: number, at: number];

function listCallFaults(
  sent: readonly Sent[],
  disturbances = new Disturbances(),
): number {
  const witness = new TaskCallWitness(disturbances);
  for (const [holder, fence, at] of sent) {
    const sender = {holder, fence, subject: 'usage'};
    const call = {...sender, isAccepted: true, isAnswered: true};
    witness.recordCall(call, at);
  }
  return witness.faults.length;
}

function countUsageFaults(begun: number, ...reports: number[]): number {
  const witness = new UsageWitness();
  for (let count = 0; count < begun; count++) {
    witness.recordRun({kind: 'once'} as Attempt, 7.5 * WINDOW_MS);
  }
  for (const team of reports) {
    const report = {window: 7, counts: {team}};
    const sender = {holder: 'a', fence: 1, subject: 'usage'};
    const call = {...sender, isAccepted: true, isAnswered: true};
    witness.recordCall({...call, report});
  }
  const span = {from: 6.5 * WINDOW_MS, until: 8.5 * WINDOW_MS};
  const checked = witness.listChecked(span, Infinity);
  assert.deepEqual(checked, [7]);
  return witness.listFaults(checked, 0).length;
}

/** Reports two windows of 50 requests, ten of them 50 ms before they part. */
function countEdgeFaults(reports: readonly number[], edgeMs: number): number {
  const witness = new UsageWitness();
  const run = {kind: 'once'} as Attempt;
  const partAt = 8 * WINDOW_MS;
  for (let count = 0; count < 40; count++) {
    witness.recordRun(run, partAt - WINDOW_MS / 2);
    witness.recordRun(run, partAt + WINDOW_MS / 2);
  }
  for (let count = 0; count < 10; count++) {
    witness.recordRun(run, partAt - 50);
    witness.recordRun(run, partAt + 50);
  }
  for (const [index, team] of reports.entries()) {
    const report = {window: 7 + index, counts: {team}};
    const call = {
      ...{holder: 'a', fence: 1, subject: 'usage'},
      ...{isAccepted: true, isAnswered: true},
    };
    witness.recordCall({...call, report});
  }
  return witness.listFaults([7, 8], edgeMs).length;
}

describe('the witnesses of tasks', () => {
  // A witness that overlooks one of these would pass a broken lease.
  it('find shared and falling tokens and returns within the lease', () => {
    const first: Sent = ['a', 1, 0];
    assert.equal(listCallFaults([first, ['b', 2, 50], ['b', 2, 90]]), 0);
    assert.equal(listCallFaults([first, ['b', 1, 50]]), 1);
    assert.equal(
      listCallFaults([
        ['b', 2, 0],
        ['a', 1, 50],
      ]),
      1,
    );
    const returned: Sent = ['a', 3, LEASE_MS - 1];
    assert.equal(listCallFaults([first, ['b', 2, 50], returned]), 1);
    assert.equal(listCallFaults([first, ['b', 2, 50], ['a', 3, LEASE_MS]]), 0);
  });

  it('leave out the order, not the tokens, of calls after a thaw', () => {
    const disturbances = new Disturbances();
    disturbances.start('hosts', 0, {host: 'a'}).until = 100;
    const calls: Sent[] = [
      ['b', 2, 0],
      ['a', 1, 400],
    ];
    assert.equal(listCallFaults(calls, disturbances), 0);
    assert.equal(listCallFaults([...calls, ['a', 1, 401]], disturbances), 1);
    assert.equal(listCallFaults([...calls, ['a', 2, 90]], disturbances), 1);
  });

  it('find second bodies, wrong counts and missing windows', () => {
    assert.equal(countUsageFaults(100, 105), 0);
    assert.equal(countUsageFaults(100, 94), 1);
    assert.equal(countUsageFaults(4, 6), 0);
    assert.equal(countUsageFaults(4, 7), 1);
    assert.equal(countUsageFaults(0), 1);
    assert.equal(countUsageFaults(4, 4, 4), 0);
    assert.equal(countUsageFaults(4, 5, 4), 1);
  });

  // Seed 2 failed with requests that host and endpoint saw in two windows.
  it('take requests near the end of a window in either one', () => {
    assert.equal(countEdgeFaults([60, 40], 100), 0);
    assert.equal(countEdgeFaults([60, 40], 20), 2);
    // The sum shows requests that were not counted at all.
    assert.equal(countEdgeFaults([49, 49], 100), 0);
    assert.equal(countEdgeFaults([47, 47], 100), 1);
  });
});
