/** Exit checks by the answers of the endpoint and its neighbors. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger, SeededRandom} from '@irisdock/kernel';
import {EndpointExitCheck} from '../src/serving/endpoint_exit_check.js';
import type {EndpointRecord} from '../src/serving/endpoint_record.js';
import {SendPermit} from '../src/serving/send_gate.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const SEEDS = 30;
/** Time in which any check ends, in ms. */
const CHECK_MS = 20_000;

/**
 * Creates a check for endpoints of one failure domain that have all exited.
 *
 * @param crashed The endpoints that are known to have crashed.
 * @param silent Endpoints that run but don't answer in time.
 * @param suspects Those that crashed under a content that crashed others too.
 */
function createCheck(
  all: readonly EndpointRecord[],
  crashed: readonly string[],
  seed: number,
  silent: readonly string[] = [],
  clock = new VirtualClock(),
  suspects: readonly string[] = [],
): EndpointExitCheck {
  return new EndpointExitCheck({
    client: {
      admit: (target) => new SendPermit(target),
      send: ({permit}) =>
        Promise.resolve({
          kind: 'lost',
          mayHaveRun: false,
          isRefused: !silent.includes(permit.target.instanceId),
          detail: 'no answer',
        }),
    },
    codec: {reportPath: '/report', encodeRequest: (lines) => lines},
    configuration: {findService: () => undefined},
    endpoints: {listAll: () => [...all], listUsable: () => [...all]},
    paths: {checkAny: () => Promise.resolve(true)},
    crashes: {
      hasCrashed: (instanceId) => crashed.includes(instanceId),
      hasSuspectCrashed: (instanceId) => suspects.includes(instanceId),
    },
    clock,
    random: new SeededRandom(seed),
    log: new RoarrLogger('test', 'off'),
  });
}

describe('an endpoint that exited', () => {
  // Guards against crashes of neighbors that look like the loss of the domain.
  it('is not lost with its domain when its neighbors crashed before', async () => {
    const all = ['a', 'b', 'c'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    for (let seed = 0; seed < SEEDS; seed++) {
      const check = createCheck(all, ['b', 'c'], seed);
      assert.equal(await check.check(ended), 'ended');
    }
  });

  it('is lost with its domain when its neighbors exited too', async () => {
    const all = ['a', 'b', 'c', 'x', 'y'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    for (let seed = 0; seed < SEEDS; seed++) {
      const check = createCheck(all, ['x', 'y'], seed);
      assert.equal(await check.check(ended), 'ended-with-domain');
    }
  });

  // Guards against busy neighbors that are taken for exited ones: the crash
  // would not be counted, and the content would crash further endpoints.
  it('is not lost with its domain when its neighbors are silent', async () => {
    const all = ['a', 'b', 'c', 'd'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    for (let seed = 0; seed < SEEDS; seed++) {
      const clock = new VirtualClock();
      const check = createCheck(all, [], seed, ['b', 'c'], clock);
      const state = check.check(ended);
      await clock.run(CHECK_MS);
      assert.equal(await state, 'ended');
    }
  });

  // Guards against two contents that crash two endpoints at the same moment.
  it('is not lost with its domain when only one neighbor can be probed', async () => {
    const all = ['a', 'b', 'c', 'd'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    for (let seed = 0; seed < SEEDS; seed++) {
      const check = createCheck(all, ['b', 'c'], seed);
      assert.equal(await check.check(ended), 'ended');
    }
  });

  // Guards against the loss of a domain that counts as crashes because the
  // entries of its other endpoints are removed before the check ends.
  it('is lost with its domain though the entries of its neighbors are gone', async () => {
    const all = ['a', 'b', 'c'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    const clock = new VirtualClock();
    const silent = ['a', 'b', 'c'];
    const check = createCheck(all, [], 1, silent, clock);
    clock.plan(200, () => all.splice(0));
    clock.plan(300, () => silent.splice(0));
    const state = check.check(ended);
    await clock.run(CHECK_MS);
    assert.equal(await state, 'ended-with-domain');
  });

  // Guards against a loss that stands although its neighbors turn out to have
  // crashed under another content at the same moment.
  it('is not lost with its domain once suspects crashed its neighbors', async () => {
    const all = ['a', 'b', 'c'].map((name) => createEndpoint(name));
    const [ended] = all;
    assert.ok(ended);
    const suspects: string[] = [];
    const clock = new VirtualClock();
    const check = createCheck(all, [], 1, [], clock, suspects);
    assert.equal(await check.check(ended), 'ended-with-domain');
    assert.equal(check.isDomainLossRefuted(ended), false);
    suspects.push('c');
    assert.equal(check.isDomainLossRefuted(ended), true);
  });

  // Guards against the next instance that answers for the one that crashed.
  it('has exited when another instance has replaced it', async () => {
    const [ended] = ['a'].map((name) => createEndpoint(name));
    assert.ok(ended);
    const clock = new VirtualClock();
    const check = createCheck([ended], [], 1, ['a'], clock);
    clock.plan(300, () => {
      ended.markRemoved('restarted');
    });
    const state = check.check(ended);
    await clock.run(CHECK_MS);
    assert.equal(await state, 'ended');
  });
});
