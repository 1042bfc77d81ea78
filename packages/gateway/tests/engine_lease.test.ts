/** Leases on engines for the runs of suspected contents. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger, type Crash} from '@irisdock/decisions';
import {RoarrLogger} from '@irisdock/kernel';
import {CrashRecords} from '../src/serving/crash_records.js';
import {EngineLease} from '../src/serving/engine_lease.js';
import type {LeaseOutcome, LeaseRequest} from '../src/serving/suspect_run.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const CONTENT = 'a'.repeat(32);
/** When the other run on the engine ends, in ms. */
const OTHER_END_MS = 400;
/** When a crash of the content is recorded, in ms. */
const CRASH_MS = 100;
const SETTLE_MS = 5000;
/** Longer than any wait for an engine, in ms. */
const MAX_WAIT_MS = 1100;

function createCrashes(ids: string): Crash[] {
  return ids.split('').map((instanceId) => ({content: CONTENT, instanceId}));
}

/** Issues the lease on the only engine, which another run holds until a time. */
class EngineIssuer {
  readonly requests: string[] = [];
  heldCount = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly freeFromMs: number,
  ) {}

  acquire({content}: LeaseRequest): Promise<LeaseOutcome> {
    this.requests.push(content);
    if (this.clock.getNow() < this.freeFromMs) {
      return Promise.resolve({kind: 'held'});
    }
    this.heldCount++;
    const lease = {release: () => this.heldCount--};
    return Promise.resolve({kind: 'granted', lease, instanceIds: []});
  }
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly crashes: CrashRecords;
  readonly issuer: EngineIssuer;
  readonly lease: EngineLease;
}

function createFixture(crashedIds: string, freeFromMs: number): Fixture {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const ledger = new CrashLedger({keepMs: 60_000, maxContents: 10});
  const crashes = new CrashRecords({ledger, clock, log});
  if (crashedIds !== '') crashes.acceptCrashes(createCrashes(crashedIds));
  const issuer = new EngineIssuer(clock, freeFromMs);
  const lostRuns = {isSuspected: () => true};
  const parts = {crashes, lostRuns, runLeases: issuer, clock, log};
  const lease = new EngineLease(parts, {content: CONTENT, requestId: 'r'});
  return {clock, crashes, issuer, lease};
}

/** Requests the only engine until the run may start; returns when, in ms. */
async function waitForEngine({
  clock,
  lease,
}: Fixture): Promise<number | undefined> {
  const {signal} = new AbortController();
  const endpoint = createEndpoint('x', () => clock.getNow());
  let startedAt: number | undefined;
  const request = async (): Promise<void> => {
    while (!(await lease.acquire(endpoint, signal)));
    startedAt = clock.getNow();
  };
  void request();
  await clock.run(SETTLE_MS);
  return startedAt;
}

describe('a run of a content that crashed two engines', () => {
  // Guards against suspects that share the last engines, whose crashes then
  // prove nothing against any of them.
  it('waits until no other suspect runs on the engine', async () => {
    const fixture = createFixture('yz', OTHER_END_MS);
    const startedAt = (await waitForEngine(fixture)) ?? 0;
    assert.ok(startedAt >= OTHER_END_MS);
    assert.equal(fixture.issuer.heldCount, 1);
    fixture.lease.release();
    assert.equal(fixture.issuer.heldCount, 0);
  });

  it('starts after a second if another suspect stays there', async () => {
    const fixture = createFixture('yz', Infinity);
    const startedAt = (await waitForEngine(fixture)) ?? Infinity;
    assert.ok(startedAt <= MAX_WAIT_MS);
    assert.equal(fixture.issuer.heldCount, 0);
  });
});

describe('a run of a content that crashed one engine', () => {
  // Guards against sound streams that queue for engines after a loss.
  it('waits for no engine', async () => {
    const fixture = createFixture('y', Infinity);
    assert.equal(await waitForEngine(fixture), 0);
  });
});

describe('a run of a content without a crash', () => {
  // Guards against the streams of a lost failure domain that wait for leases.
  it('requests no engine', async () => {
    const fixture = createFixture('', Infinity);
    assert.equal(await waitForEngine(fixture), 0);
    assert.deepEqual(fixture.issuer.requests, []);
  });

  // Guards against suspects that join a run whose crash was recorded after it
  // had resumed.
  it('requests its engine once a crash is recorded', async () => {
    const fixture = createFixture('', 0);
    const {clock, crashes, issuer, lease} = fixture;
    clock.plan(CRASH_MS, () => {
      crashes.acceptCrashes(createCrashes('y'));
    });
    assert.equal(await waitForEngine(fixture), 0);
    assert.deepEqual(issuer.requests, ['engine/x']);
    assert.equal(issuer.heldCount, 1);
    lease.release();
    assert.equal(issuer.heldCount, 0);
  });
});
