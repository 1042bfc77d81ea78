/** Whether a content counts as suspected while reports may still arrive. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger} from '@irisdock/decisions';
import {RoarrLogger} from '@irisdock/kernel';
import {
  CrashRecords,
  MAX_REPORT_DELAY_MS,
} from '../src/serving/crash_records.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
const OTHER_CONTENT = 'b'.repeat(32);

describe('a content whose only crash another content explains', () => {
  // Guards against runs without a lease at several hosts: until the reports of
  // all hosts are in, a sound content may pass for the cause of a crash.
  it('is suspected until other hosts have had time to report', async () => {
    const clock = new VirtualClock();
    const log = new RoarrLogger('test', 'off');
    const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
    const crashes = new CrashRecords({ledger, clock, log});
    crashes.acceptCrashes([
      {content: CONTENT, instanceId: 'x'},
      {content: OTHER_CONTENT, instanceId: 'x'},
      {content: OTHER_CONTENT, instanceId: 'y'},
    ]);
    assert.equal(crashes.hasEvidence(CONTENT), true);
    await clock.run(MAX_REPORT_DELAY_MS);
    assert.equal(crashes.hasEvidence(CONTENT), false);
    assert.equal(crashes.hasEvidence(OTHER_CONTENT), true);
  });
});
