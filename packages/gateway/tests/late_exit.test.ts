/**
 * Whether the exit of an endpoint counts as a crash of the content that ran
 * there, although this host learns of the exit late.
 */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {CrashLedger} from '@irisdock/decisions';
import {RoarrLogger, SeededRandom, SystemClock} from '@irisdock/kernel';
import {Registry} from 'prom-client';
import {EndpointClient} from '../src/channels/endpoint_client.js';
import type {HeaderCodec} from '../src/model/request_metadata.js';
import {CrashRecords} from '../src/serving/crash_records.js';
import {EndpointExitCheck} from '../src/serving/endpoint_exit_check.js';
import type {
  EndpointExitCheckParts,
  EndpointExitState,
} from '../src/serving/endpoint_exit_check.js';
import type {EndpointRecord} from '../src/serving/endpoint_record.js';
import {LostRuns} from '../src/serving/lost_runs.js';
import {SendPermit, type SendGate} from '../src/serving/send_gate.js';
import {ServingMetrics} from '../src/serving/serving_metrics.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
/** Time in which the virtual clock settles a lost run, in ms. */
const RECORD_MS = 1000;

const LOG = new RoarrLogger('test', 'off');

/** Finds an address at which nothing listens. */
async function findFreeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Blocks the event loop, as a busy machine does. */
function waitBlocked(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Creates a check that sends its probes over real connections. */
function createExitCheck(): {check: EndpointExitCheck; close: () => void} {
  const gate: Partial<SendGate> = {admit: (target) => new SendPermit(target)};
  const codec: Partial<HeaderCodec> = {};
  const client = new EndpointClient(
    codec as HeaderCodec,
    gate as SendGate,
    new SystemClock(),
  );
  const check = new EndpointExitCheck({
    client,
    codec: {reportPath: '/report', encodeRequest: (lines) => lines},
    configuration: {findService: () => undefined},
    clock: new SystemClock(),
    endpoints: {listAll: () => [], listUsable: () => []},
    paths: {checkAny: () => Promise.resolve(true)},
    crashes: {hasCrashed: () => false, hasSuspectCrashed: () => false},
    random: new SeededRandom(1),
    log: LOG,
  });
  const close = (): void => {
    client.close();
  };
  return {check, close};
}

/** Checks an exited endpoint while the event loop is blocked. */
async function runBlockedCheck(blockedMs: number): Promise<EndpointExitState> {
  const {check, close} = createExitCheck();
  try {
    const state = check.check(createEndpoint(await findFreeAddress()));
    waitBlocked(blockedMs);
    return await state;
  } finally {
    close();
  }
}

/** Counts the crashes of a content after a run was lost on an endpoint. */
async function countAfterLoss(
  endpoint: EndpointRecord,
  end: EndpointExitState,
): Promise<number> {
  const clock = new VirtualClock();
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log: LOG});
  const metrics = new ServingMetrics(new Registry());
  const exitCheck = {
    check: () => Promise.resolve(end),
    close: () => undefined,
    isDomainLossRefuted: () => false,
  };
  const lostRuns = new LostRuns({
    exitCheck,
    crashes,
    metrics,
    clock,
    log: LOG,
  });
  const run = {requestId: 'r', content: CONTENT, endpoint, wasSilent: false};
  const recorded = lostRuns.record(run, 0, new AbortController().signal);
  await clock.run(RECORD_MS);
  await recorded;
  return crashes.countCrashes(CONTENT);
}

/** Checks an endpoint where the first probes get no answer in time. */
async function checkSilentFirst(silentMs: number): Promise<EndpointExitState> {
  const exitsAt = performance.now() + silentMs;
  const send: EndpointExitCheckParts['client']['send'] = async ({signal}) => {
    const leftMs = exitsAt - performance.now();
    await new SystemClock().wait(Math.max(0, leftMs), signal);
    return {
      kind: 'lost',
      mayHaveRun: false,
      isRefused: !signal.aborted,
      detail: 'no answer',
    };
  };
  const check = new EndpointExitCheck({
    client: {admit: (target) => new SendPermit(target), send},
    codec: {reportPath: '/report', encodeRequest: (lines) => lines},
    configuration: {findService: () => undefined},
    clock: new SystemClock(),
    endpoints: {listAll: () => [], listUsable: () => []},
    paths: {checkAny: () => Promise.resolve(true)},
    crashes: {hasCrashed: () => false, hasSuspectCrashed: () => false},
    random: new SeededRandom(1),
    log: LOG,
  });
  return check.check(createEndpoint('a'));
}

describe('the check of an endpoint that exited', () => {
  it('finds that it exited', async () => {
    assert.equal(await runBlockedCheck(0), 'ended');
  });

  for (const ms of [250, 450, 700]) {
    // Guards against a timeout that fires before the refusal is read.
    it(`finds that it exited though this host stalls for ${ms} ms`, async () => {
      assert.equal(await runBlockedCheck(ms), 'ended');
    });
  }

  for (const ms of [100, 400, 700]) {
    // Guards against a content that is cleared by a probe without an answer.
    it(`finds that it exited though it refuses after ${ms} ms only`, async () => {
      assert.equal(await checkSilentFirst(ms), 'ended');
    });
  }
});

describe('a run lost on an endpoint that exited', () => {
  it('is a crash where the endpoint was in use', async () => {
    assert.equal(await countAfterLoss(createEndpoint('a'), 'ended'), 1);
  });

  // Guards against an expired entry that is taken for an announced departure.
  it('is a crash where its entry was withdrawn before', async () => {
    const endpoint = createEndpoint('a');
    endpoint.markRemoved('withdrawn');
    assert.equal(await countAfterLoss(endpoint, 'ended'), 1);
  });

  it('is no crash where the endpoint had announced that it leaves', async () => {
    const endpoint = createEndpoint('a');
    endpoint.entry = {...endpoint.entry, state: 'leaving'};
    assert.equal(await countAfterLoss(endpoint, 'ended'), 0);
  });
});
