/** Whether a run of a suspected content may start, and with which lease. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger, type Crash} from '@irisdock/decisions';
import {RoarrLogger} from '@irisdock/kernel';
import {CrashRecords} from '../src/serving/crash_records.js';
import {
  SuspectRunAdmission,
  type LeaseOutcome,
  type LeaseRequest,
  type RunAdmissionResult,
} from '../src/serving/suspect_run.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
const OTHER_CONTENT = 'b'.repeat(32);
/** When reports of another host revise the verdict, in ms. */
const REVISION_MS = 100;
/** When a crash at the same moment is reported, in ms. */
const REPORT_MS = 10;
const SETTLE_MS = 10_000;
const MAX_WAIT_MS = 5000;

function createCrashes(content: string, ids: string): Crash[] {
  return ids.split('').map((instanceId) => ({content, instanceId}));
}

/** Grants each lease that is needed when it is requested. */
class GrantingLeases {
  heldCount = 0;

  acquire(request: LeaseRequest): Promise<LeaseOutcome> {
    if (!request.isNeeded()) return Promise.resolve({kind: 'not-needed'});
    this.heldCount++;
    const lease = {release: () => this.heldCount--};
    return Promise.resolve({kind: 'granted', lease, instanceIds: []});
  }
}

/**
 * Admits a run of a content that crashed some endpoints just now; `reports`
 * arrive after a while.
 */
async function admitSuspected(
  crashedIds: string,
  reports: readonly Crash[],
  reportMs: number,
): Promise<{result: RunAdmissionResult | undefined; leases: number}> {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  const runLeases = new GrantingLeases();
  const lostRuns = {
    isSuspected: (content: string) => crashes.hasEvidence(content),
  };
  crashes.acceptCrashes(createCrashes(CONTENT, crashedIds));
  const admission = new SuspectRunAdmission(
    {crashes, lostRuns, runLeases, clock, log},
    {content: CONTENT, requestId: 'r'},
  );
  clock.plan(reportMs, () => {
    crashes.acceptCrashes(reports);
  });
  let result: RunAdmissionResult | undefined;
  const {signal} = new AbortController();
  void admission.admit(signal, MAX_WAIT_MS).then((admitted) => {
    result = admitted;
  });
  await clock.run(SETTLE_MS);
  return {result, leases: runLeases.heldCount};
}

describe('a run of a refused content', () => {
  // Guards against runs of the content at several hosts at once: each host that
  // waited out the refusal ran it without a lease.
  it('holds the lease if reports revise the verdict', async () => {
    const reports = createCrashes(OTHER_CONTENT, 'uvwz');
    assert.deepEqual(await admitSuspected('xyz', reports, REVISION_MS), {
      result: 'admitted',
      leases: 1,
    });
  });

  it('does not start if no report arrives', async () => {
    assert.deepEqual(await admitSuspected('xyz', [], REVISION_MS), {
      result: 'refused',
      leases: 0,
    });
  });
});

describe('a run of a content that crashed two endpoints just now', () => {
  // Guards against a fourth crash where two hosts see the second and the third
  // at the same moment.
  it('does not start if a third crash is reported at once', async () => {
    const reports = createCrashes(CONTENT, 'z');
    const {result} = await admitSuspected('xy', reports, REPORT_MS);
    assert.equal(result, 'refused');
  });

  it('starts with the lease if no report arrives', async () => {
    assert.deepEqual(await admitSuspected('xy', [], REPORT_MS), {
      result: 'admitted',
      leases: 1,
    });
  });
});
