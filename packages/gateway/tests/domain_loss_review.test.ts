/** Crashes that passed for the loss of a failure domain at first. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger} from '@irisdock/decisions';
import {RoarrLogger} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {CrashRecords} from '../src/serving/crash_records.js';
import {LostRuns} from '../src/serving/lost_runs.js';
import {ServingMetrics} from '../src/serving/serving_metrics.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
const OTHER_CONTENT = 'b'.repeat(32);
/** When another host reports crashes of the neighbors, in ms. */
const REPORT_MS = 20;
/** When the content is run to its end elsewhere, in ms. */
const COMPLETION_MS = 10;
const SETTLE_MS = 2000;

/**
 * Loses a run on an endpoint whose neighbors n and m have exited too.
 *
 * @param reported The instances that another content crashed, by later reports.
 * @returns The crashes of the run's content, and whether it was suspected until
 *     the reports arrived.
 */
async function recordLoss(
  reported: readonly string[],
  act: (lostRuns: LostRuns) => void = () => undefined,
): Promise<{crashes: number; wasSuspected: boolean}> {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  const exitCheck = {
    check: () => Promise.resolve('ended-with-domain' as const),
    close: () => undefined,
    isDomainLossRefuted: () => {
      return ['n', 'm'].some((id) => crashes.hasSuspectCrashed(id));
    },
  };
  const metrics = new ServingMetrics(new Registry());
  const lostRuns = new LostRuns({exitCheck, crashes, metrics, clock, log});
  const endpoint = createEndpoint('x', () => clock.getNow());
  const run = {requestId: 'r', content: CONTENT, endpoint, wasSilent: false};
  void lostRuns.record(run, 0, new AbortController().signal);
  clock.plan(COMPLETION_MS, () => {
    act(lostRuns);
  });
  let wasSuspected = false;
  clock.plan(REPORT_MS, () => {
    wasSuspected = lostRuns.isSuspected(CONTENT);
    crashes.acceptCrashes(
      reported.map((instanceId) => ({content: OTHER_CONTENT, instanceId})),
    );
  });
  await clock.run(SETTLE_MS);
  return {crashes: crashes.countCrashes(CONTENT), wasSuspected};
}

describe('a run lost together with neighbors of its endpoint', () => {
  // Guards against crashes that are never counted: neighbors that crashed under
  // another content at the same moment passed for the loss of the domain.
  it('counts as a crash once reports show that another content crashed them', async () => {
    const counted = {crashes: 1, wasSuspected: true};
    assert.deepEqual(await recordLoss(['n', 'm']), counted);
    assert.deepEqual(await recordLoss(['n', 'y']), counted);
  });

  // Guards against the loss of a domain that counts against its streams because
  // one of its endpoints was taken for a crashed one.
  it('counts as no crash if their content crashed nothing else', async () => {
    assert.equal((await recordLoss(['n'])).crashes, 0);
    assert.equal((await recordLoss(['y', 'z'])).crashes, 0);
  });

  it('counts as no crash if its content was run to its end meanwhile', async () => {
    const {crashes} = await recordLoss(['n', 'm'], (lostRuns) => {
      lostRuns.recordCompletion(CONTENT);
    });
    assert.equal(crashes, 0);
  });
});
