/**
 * Guards against hosts that never read a slow store: each answer that came after
 * the time limit was dropped, and the same read was sent again.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger} from '@irisdock/kernel';
import {TableFollower} from '../src/tables/table_follower.js';
import {VirtualClock} from './fixtures/virtual_clock.js';
import {VirtualStore, VirtualStoreClient} from './fixtures/virtual_store.js';

const OPTIONS = {waitMs: 700, maxAgeMs: 1100, paceMs: 250, retryMs: 300};
const SLOW_MS = [600, 1500];

interface Fixture {
  readonly clock: VirtualClock;
  readonly store: VirtualStore;
  readonly client: VirtualStoreClient;
  readonly follower: TableFollower;
}

/** Starts a host that reads the store, which answers after `roundTripMs`. */
function startFollower(roundTripMs: number): Fixture {
  const clock = new VirtualClock();
  const store = new VirtualStore(clock);
  store.put('endpoints', 'a', 'x');
  const client = new VirtualStoreClient(store);
  client.roundTripMs = roundTripMs;
  const log = new RoarrLogger('test', 'off');
  const follower = new TableFollower('endpoints', client, OPTIONS, clock, log);
  follower.setRole({rank: 0, count: 1});
  follower.start();
  return {clock, store, client, follower};
}

describe('a store that answers after the time limit', () => {
  for (const slowMs of SLOW_MS) {
    it(`is read in the end when it needs ${slowMs} ms`, async () => {
      const {clock, store, client, follower} = startFollower(slowMs);
      await clock.run(slowMs);
      assert.equal(follower.replica.find('a')?.value, 'x');
      assert.equal(follower.getAgeMs(clock.getNow()), slowMs);
      store.put('endpoints', 'a', 'y');
      await clock.run(4000);
      assert.equal(follower.replica.find('a')?.value, 'y');
      // One call per time limit and pause, as for a store that is silent.
      const {timeoutMs} = client;
      const periods = clock.getNow() / (timeoutMs + OPTIONS.retryMs);
      assert.ok(client.calls <= Math.ceil(periods), `${client.calls} calls`);
      follower.stop();
    });
  }

  it('has its lost history noticed', async () => {
    const {clock, store, client, follower} = startFollower(8);
    await clock.run(1000);
    client.roundTripMs = 900;
    const backup = store.takeSnapshot();
    store.loadSnapshot(backup);
    store.put('endpoints', 'b', 'y');
    await clock.run(8000);
    assert.equal(follower.replica.find('b')?.value, 'y');
    follower.stop();
  });

  it('still counts as unavailable', async () => {
    const {clock, follower} = startFollower(600);
    await clock.run(5000);
    assert.ok(follower.reachability.isAway);
    follower.stop();
  });
});

describe('a store that was silent', () => {
  // Guards against time limits and pauses that grow in an outage.
  it('is read within a time limit and a pause of its return', async () => {
    const {clock, store, client, follower} = startFollower(8);
    await clock.run(1000);
    client.state = 'silent';
    await clock.run(4500);
    client.state = 'open';
    store.put('endpoints', 'a', 'y');
    await clock.run(client.timeoutMs + OPTIONS.waitMs + OPTIONS.retryMs + 8);
    assert.equal(follower.replica.find('a')?.value, 'y');
    follower.stop();
  });
});
