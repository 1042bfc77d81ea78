/** When a lost run may be sent again, by what other hosts report meanwhile. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger, type Crash} from '@irisdock/decisions';
import {RoarrLogger} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {CrashRecords} from '../src/serving/crash_records.js';
import {LostRuns} from '../src/serving/lost_runs.js';
import {ServingMetrics} from '../src/serving/serving_metrics.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const SOUND = 'a'.repeat(32);
const BAD = 'b'.repeat(32);
/** How long a report of another host is under way here, in ms. */
const REPORT_MS = 12;

interface Bed {
  readonly clock: VirtualClock;
  readonly crashes: CrashRecords;
  readonly lostRuns: LostRuns;
}

/** Creates lost runs whose endpoints have all ended. */
function createBed(): Bed {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  const metrics = new ServingMetrics(new Registry());
  const check = {check: () => Promise.resolve('ended' as const)};
  const lostRuns = new LostRuns({
    exitCheck: check,
    crashes,
    metrics,
    clock,
    log,
  });
  return {clock, crashes, lostRuns};
}

function createCrashes(content: string, ids: string): Crash[] {
  return ids.split('').map((instanceId) => ({content, instanceId}));
}

/** Loses a run of the sound content on its third endpoint; true if refused. */
async function endThird({clock, crashes, lostRuns}: Bed): Promise<boolean> {
  crashes.acceptCrashes(createCrashes(SOUND, 'xy'));
  const endpoint = createEndpoint('z', () => clock.getNow());
  const run = {requestId: 'r', content: SOUND, endpoint};
  const decided = lostRuns
    .record(run, 0, new AbortController().signal)
    .then(() => crashes.isRefused(SOUND));
  await clock.run(1000);
  return decided;
}

describe('a lost run', () => {
  // Guards against a refusal before other hosts have reported what ran there.
  it('is not refused for what another host is about to report', async () => {
    const bed = createBed();
    bed.clock.plan(REPORT_MS, () => {
      bed.crashes.acceptCrashes(createCrashes(BAD, 'vwxz'));
    });
    assert.equal(await endThird(bed), false);
  });

  it('is refused when nobody reports another suspect', async () => {
    assert.equal(await endThird(createBed()), true);
  });
});
