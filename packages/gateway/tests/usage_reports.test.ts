/** Usage reports of a few hosts under failures, in simulated time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, type Random} from '@irisdock/kernel';
import {
  UsageFleet,
  type CallFault,
  type WriteFault,
} from './fixtures/usage_fleet.js';

const HOSTS = ['a', 'b', 'c', 'd'];
const TEAMS = ['first', 'second'];
const SEED = 20_261_204;
const RUNS = 60;
const FAULTS = ['late', 'none', 'rejected', 'unanswered'] as const;

/** Starts hosts of which the first reports usage. */
async function startFleet(): Promise<UsageFleet> {
  const fleet = new UsageFleet(HOSTS);
  await fleet.acquire('a');
  return fleet;
}

function startRequests(fleet: UsageFleet, count: number): void {
  for (let i = 0; i < count; i++) {
    fleet.startRequest(HOSTS[i % HOSTS.length] ?? '', 'first');
  }
}

/** Counts a request of the first window after the window has ended. */
function countLate(fleet: UsageFleet): void {
  fleet.hosts.get('d')?.exchange.recordBegun('first', 4900);
}

/** Lets the first window end, and all reports that are due be sent. */
async function runToFirstReport(fleet: UsageFleet): Promise<void> {
  await fleet.run(10_000);
}

describe('usage reports', () => {
  it('are exact and sent for each window, also without requests', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(6000);
    startRequests(fleet, 3);
    await fleet.run(17_000);
    assert.deepEqual(fleet.listReports(), [{first: 10}, {first: 3}, {}, {}]);
  });

  // Guards against an operator who takes an open report for a settled one.
  it('are shown at the holder with what became of each window', async () => {
    const fleet = await startFleet();
    const list = (name: string): string[] => {
      const {windows = []} = fleet.hosts.get(name)?.task.getActivity() ?? {};
      return windows.map(({result}) => result);
    };
    await fleet.run(8000);
    assert.deepEqual(list('a'), ['sent']);
    fleet.isApiBusy = true;
    await fleet.run(5000);
    assert.deepEqual(list('a'), ['sent', 'unsent']);
    fleet.isApiBusy = false;
    fleet.callFault = 'unanswered';
    await fleet.run(1500);
    assert.deepEqual(list('a'), ['sent', 'uncertain']);
    await fleet.run(2000);
    assert.deepEqual(list('a'), ['sent', 'sent']);
    fleet.isApiBusy = true;
    await fleet.run(5000);
    await fleet.acquire('b');
    assert.deepEqual([list('a'), list('b')], [[], ['uncertain']]);
    await fleet.run(10_000);
    fleet.isApiBusy = false;
    await fleet.run(3000);
    assert.equal(list('b')[0], 'late');
  });

  // A holder that trusted the restored rows would report a window once more.
  it('keep one body when the store is restored and the holder changes', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(4000);
    const backup = new Map(fleet.rows);
    await fleet.run(6000);
    fleet.putBackup(backup);
    countLate(fleet);
    fleet.hosts.delete('a');
    await fleet.acquire('b');
    await fleet.run(15_000);
    assert.deepEqual(fleet.listContradictions(), []);
    // The restore costs a window, and the reports go on after it.
    assert.equal(fleet.accepted.size, 3);
  });

  // Without rows the holder took the era for the first, so that the next one
  // saw a restore that had not been, and left out the windows that had ended.
  it('go on after a restore to a copy without rows', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(8000);
    fleet.putBackup(new Map());
    countLate(fleet);
    await fleet.acquire('b');
    startRequests(fleet, 3);
    await fleet.run(4000);
    await fleet.acquire('c');
    await fleet.run(10_000);
    assert.deepEqual(fleet.listContradictions(), []);
    assert.deepEqual(fleet.listReports(), [{first: 10}, {first: 3}, {}, {}]);
  });

  // Each start before the first checkpoint left out the windows ended so far.
  it('leave out no window after a restore if the lease is lost', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(4900);
    fleet.putBackup(new Map());
    await fleet.acquire('b');
    fleet.writeFault = 'rejected';
    await fleet.run(200);
    assert.equal(fleet.rows.size, 0);
    await fleet.acquire('b');
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 10});
  });

  // Each loss of the holder could give a window two bodies or none.
  const steps: readonly (readonly [string, WriteFault, CallFault])[] = [
    ['before the window is final', 'rejected', 'none'],
    ['after a write without an answer', 'unanswered', 'none'],
    ['while its write is on its way', 'late', 'none'],
    ['after a call without an answer', 'none', 'unanswered'],
    ['while its call is on its way', 'none', 'late'],
  ];
  for (const [step, writeFault, callFault] of steps) {
    for (const isLateFirst of [true, false]) {
      const order = isLateFirst ? 'before' : 'after';
      it(`keep one body if the holder is lost ${step}, ${order}`, async () => {
        const fleet = await startFleet();
        startRequests(fleet, 10);
        // The last step before the first window is made final.
        await fleet.run(6950);
        fleet.writeFault = writeFault;
        fleet.callFault = callFault;
        await fleet.run(50);
        // A second body would differ, as another count has arrived.
        countLate(fleet);
        await fleet.run(300);
        fleet.hosts.delete('a');
        if (isLateFirst) fleet.applyLate();
        await fleet.acquire('b');
        fleet.applyLate();
        await fleet.run(3000);
        assert.deepEqual(fleet.listContradictions(), []);
        assert.match(JSON.stringify(fleet.listReports()[0]), /:1[01]\}$/u);
      });
    }
  }

  // The former write would replace the row whose body was sent.
  it('keep one body if an earlier write is applied last', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(6950);
    fleet.writeFault = 'late';
    await fleet.run(50);
    countLate(fleet);
    fleet.callFault = 'unanswered';
    await fleet.run(600);
    fleet.applyLate();
    await fleet.acquire('b');
    await fleet.run(3000);
    assert.deepEqual(fleet.listContradictions(), []);
    assert.deepEqual(fleet.listReports()[0], {first: 11});
  });

  // A window that is final before a checkpoint would never be sent.
  it('are sent by the next holder when the API was busy', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    fleet.isApiBusy = true;
    await fleet.run(9000);
    fleet.hosts.delete('a');
    await fleet.acquire('b');
    fleet.isApiBusy = false;
    await fleet.run(2000);
    assert.deepEqual(fleet.listReports()[0], {first: 10});
  });

  // The new processes know nothing of the requests before the loss.
  it('contain the checkpoint after all hosts were lost', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(2000);
    for (const name of HOSTS) fleet.startHost(name);
    await fleet.run(1000);
    await fleet.acquire('c');
    startRequests(fleet, 5);
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 15});
  });

  // The growth of the new processes hid what the lost ones had counted.
  it('contain it also when the holder changes once more', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 10);
    await fleet.run(2000);
    for (const name of HOSTS) fleet.startHost(name);
    await fleet.acquire('c');
    startRequests(fleet, 5);
    await fleet.run(1000);
    startRequests(fleet, 5);
    await fleet.run(300);
    await fleet.acquire('b');
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 20});
  });

  it('lose only what a killed host had not sent yet', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 8);
    await fleet.run(300);
    fleet.startRequest('d', 'first');
    fleet.startHost('d');
    fleet.startRequest('d', 'first');
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 9});
  });

  // A step would move the requests of the host to another window.
  it('are exact when the clocks of hosts step', async () => {
    const fleet = await startFleet();
    await fleet.run(4000);
    for (const name of ['a', 'd']) {
      const host = fleet.hosts.get(name);
      if (host !== undefined) host.stepMs = 2000;
    }
    startRequests(fleet, 10);
    await fleet.run(500);
    startRequests(fleet, 10);
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 20});
  });

  // The holder would make windows final before all counts are there.
  it('are exact when the clock of the holder stays ahead', async () => {
    const fleet = await startFleet();
    const holder = fleet.hosts.get('a');
    for (let at = 0; at < 90_000; at += 1000) {
      if (at === 10_000 && holder !== undefined) holder.stepMs = 2000;
      startRequests(fleet, 4);
      await fleet.run(1000);
    }
    const reports = fleet.listReports().slice(0, -2);
    assert.equal(reports.length, 15);
    for (const report of reports) assert.deepEqual(report, {first: 20});
  });

  it('reach a holder that is no candidate', async () => {
    const fleet = await startFleet();
    startRequests(fleet, 6);
    await fleet.run(1000);
    await fleet.acquire('d');
    startRequests(fleet, 5);
    await runToFirstReport(fleet);
    assert.deepEqual(fleet.listReports()[0], {first: 11});
  });

  it('have one body for ever, and are exact without a loss', async () => {
    for (let run = 0; run < RUNS; run++) {
      const random = new SeededRandom(SEED + run);
      const fleet = await startFleet();
      const hasLosses = run % 2 === 0;
      for (let i = 0; i < 60; i++) {
        await runRandomStep(fleet, random, hasLosses);
      }
      fleet.applyLate();
      await fleet.run(15_000);
      assert.deepEqual(fleet.listContradictions(), [], `run ${run}`);
      if (!hasLosses) checkExact(fleet, run);
    }
  });
});

async function runRandomStep(
  fleet: UsageFleet,
  random: Random,
  hasLosses: boolean,
): Promise<void> {
  const name = HOSTS[random.getInt(HOSTS.length)] ?? '';
  switch (random.getInt(hasLosses ? 9 : 6)) {
    case 0:
      await fleet.acquire(name);
      break;
    case 1:
      fleet.writeFault = FAULTS[random.getInt(FAULTS.length)] ?? 'none';
      break;
    case 2:
      fleet.callFault = FAULTS[random.getInt(FAULTS.length)] ?? 'none';
      break;
    case 3:
      fleet.applyLate();
      break;
    case 6:
      if (name !== fleet.holder) fleet.startHost(name);
      break;
    case 7:
      fleet.hosts.get(name)?.exchange.recordBegun('late', fleet.now - 4000);
      break;
    case 8:
      fleet.startHost(fleet.holder);
      await fleet.acquire(name);
      break;
    default:
      fleet.startRequest(name, TEAMS[random.getInt(TEAMS.length)] ?? '');
  }
  await fleet.run(50 * random.getInt(30));
}

/** Each window between the first and the last report has its true counts. */
function checkExact(fleet: UsageFleet, run: number): void {
  const windows = [...fleet.accepted.keys()].sort((a, b) => a - b);
  const [first = 0] = windows;
  const expected = windows.map((_, i) => fleet.truth.get(first + i) ?? {});
  assert.deepEqual(fleet.listReports(), expected, `run ${run}`);
  assert.ok(windows.length > 3, `run ${run} has ${windows.length} windows`);
}
