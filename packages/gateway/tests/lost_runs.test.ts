/** Whether a lost run may be retried, given reports that arrive meanwhile. */
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

const HARMLESS_CONTENT = 'a'.repeat(32);
const CRASHING_CONTENT = 'b'.repeat(32);
/** The delays until a report of another host arrives, in ms. */
const REPORT_DELAYS_MS = [12, 120];

interface Fixture {
  readonly clock: VirtualClock;
  readonly crashes: CrashRecords;
  readonly lostRuns: LostRuns;
}

/** Creates a fixture whose endpoints have all exited. */
function createFixture(): Fixture {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  const metrics = new ServingMetrics(new Registry());
  const exitCheck = {
    check: () => Promise.resolve('ended' as const),
    close: () => undefined,
    isDomainLossRefuted: () => false,
  };
  const lostRuns = new LostRuns({exitCheck, crashes, metrics, clock, log});
  return {clock, crashes, lostRuns};
}

function createCrashes(content: string, ids: string): Crash[] {
  return ids.split('').map((instanceId) => ({content, instanceId}));
}

/** Loses a harmless run on a third endpoint; true if its content is refused. */
async function recordThirdCrash({
  clock,
  crashes,
  lostRuns,
}: Fixture): Promise<boolean> {
  crashes.acceptCrashes(createCrashes(HARMLESS_CONTENT, 'xy'));
  const endpoint = createEndpoint('z', () => clock.getNow());
  const run = {
    requestId: 'r',
    content: HARMLESS_CONTENT,
    endpoint,
    wasSilent: false,
  };
  const decided = lostRuns
    .record(run, 0, new AbortController().signal)
    .then(() => crashes.isRefused(HARMLESS_CONTENT));
  await clock.run(1000);
  return decided;
}

describe('a lost run', () => {
  // Guards against a refusal before other hosts have reported their runs there.
  for (const ms of REPORT_DELAYS_MS) {
    it(`is not refused if another host reports the cause ${ms} ms later`, async () => {
      const fixture = createFixture();
      fixture.clock.plan(ms, () => {
        fixture.crashes.acceptCrashes(createCrashes(CRASHING_CONTENT, 'vwxz'));
      });
      assert.equal(await recordThirdCrash(fixture), false);
    });
  }

  it('is refused if no host reports another suspect', async () => {
    assert.equal(await recordThirdCrash(createFixture()), true);
  });
});

/** Loses a run on an endpoint whose exit check takes a while. */
async function recordSlowExit(
  checkMs: number,
  wasSilent: boolean,
  act: (lostRuns: LostRuns) => void = () => undefined,
): Promise<{waitedMs: number; crashCount: number}> {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  const metrics = new ServingMetrics(new Registry());
  const check = async (): Promise<'ended'> => {
    await clock.wait(checkMs);
    return 'ended';
  };
  const exitCheck = {
    check,
    close: () => undefined,
    isDomainLossRefuted: () => false,
  };
  const lostRuns = new LostRuns({exitCheck, crashes, metrics, clock, log});
  const {signal} = new AbortController();
  let waitedMs = Infinity;
  const content = HARMLESS_CONTENT;
  for (const name of ['x', 'y']) {
    const endpoint = createEndpoint(name, () => clock.getNow());
    const run = {requestId: 'r', content, endpoint, wasSilent};
    void lostRuns.record(run, MAX_WAIT_MS, signal).then(() => {
      waitedMs = clock.getNow();
    });
  }
  clock.plan(ACT_MS, () => {
    act(lostRuns);
  });
  await clock.run(SETTLE_MS);
  return {waitedMs, crashCount: crashes.countCrashes(content)};
}

const MAX_WAIT_MS = 60;
const ACT_MS = 500;
const SETTLE_MS = 20_000;
/** How long an endpoint is silent before it is found to have exited, in ms. */
const SLOW_EXIT_MS = 3000;

describe('two runs lost on endpoints that exit slowly', () => {
  it('count as crashes, and the second waits for the result', async () => {
    const {waitedMs, crashCount} = await recordSlowExit(SLOW_EXIT_MS, false);
    assert.equal(waitedMs, SLOW_EXIT_MS);
    assert.equal(crashCount, 2);
  });

  // Guards against sound streams that wait for frozen endpoints until their
  // time is over.
  it('do not wait if they were given up for silence', async () => {
    const {waitedMs, crashCount} = await recordSlowExit(SLOW_EXIT_MS, true);
    assert.equal(waitedMs, MAX_WAIT_MS);
    assert.equal(crashCount, 2);
  });

  it('are no crashes once another run of their content is complete', async () => {
    const {waitedMs, crashCount} = await recordSlowExit(
      SLOW_EXIT_MS,
      false,
      (lostRuns) => {
        lostRuns.recordCompletion(HARMLESS_CONTENT);
      },
    );
    assert.equal(waitedMs, ACT_MS);
    assert.equal(crashCount, 0);
  });
});
