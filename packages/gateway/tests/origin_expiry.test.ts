/** When rows of origins are deleted from the store, and when they must not be. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  CONTENT,
  createOriginRecord,
  OriginHosts,
  ROUND_TRIP_MS,
} from './fixtures/origin_hosts.js';

const SECOND_MS = 1000;
/** By then rows have expired by any clock, in ms. */
const EXPIRED_MS = 100_000;
/** How long a stream is needed, in ms. */
const LIFE_MS = 20_000;

describe('a host that reads the rows of hosts that are gone', () => {
  it('deletes them once their time is over', async () => {
    const hosts = new OriginHosts();
    hosts.start('host-1').save(createOriginRecord('s-1'));
    await hosts.clock.run(EXPIRED_MS);
    const other = hosts.start('host-2');
    await hosts.find(other, 's-2');
    await hosts.clock.run(LIFE_MS + SECOND_MS);
    await hosts.find(other, 's-2');
    await hosts.clock.run(SECOND_MS);
    assert.equal(hosts.store.rows.size, 0);
  });

  // No caller comes back, so nothing else reads the rows.
  it('deletes them in the end without a lookup', async () => {
    const hosts = new OriginHosts();
    for (let index = 0; index < 250; index++) {
      const host = hosts.start(`gone-${index}`);
      host.save(createOriginRecord('s-1'));
    }
    const other = hosts.start('host-2');
    for (let second = 0; second < 30 * 60; second += 5) {
      other.startHeartbeat();
      await hosts.clock.run(5 * SECOND_MS);
    }
    assert.equal(hosts.store.rows.size, 0);
    assert.ok(hosts.store.reads <= 6, `${hosts.store.reads} reads`);
  });

  // A deletion that failed was not tried again without a lookup.
  it('deletes them in the end though the store refused a deletion', async () => {
    const hosts = new OriginHosts();
    hosts.start('host-1').save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    const other = hosts.start('host-2');
    await hosts.find(other, 's-2');
    await hosts.clock.run(EXPIRED_MS);
    const found = hosts.find(other, 's-2');
    hosts.store.state = 'busy-writes';
    await found;
    await hosts.clock.run(SECOND_MS);
    assert.equal(hosts.store.rows.size, 1);
    hosts.store.state = 'open';
    for (let second = 0; second < 30 * 60; second += 5) {
      other.startHeartbeat();
      await hosts.clock.run(5 * SECOND_MS);
    }
    assert.equal(hosts.store.rows.size, 0);
  });

  // The time of a row that was read starts again with each stream added.
  it('keeps a row that got a stream since it was read', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start('host-1');
    host.save(createOriginRecord('s-1', {remainingMs: 2 * SECOND_MS}));
    await hosts.clock.run(SECOND_MS);
    const other = hosts.start('host-2');
    await hosts.find(other, 's-2');
    host.save(createOriginRecord('s-2', {remainingMs: 3 * SECOND_MS}));
    await hosts.clock.run(2 * SECOND_MS);
    for (const ms of [500, 500, 500]) {
      assert.deepEqual((await hosts.find(other, 's-2')).versions, ['v1']);
      assert.deepEqual((await hosts.find(other, 's-0')).versions, []);
      await hosts.clock.run(ms);
    }
    assert.equal(hosts.store.rows.size, 1);
  });

  // Hosts of earlier versions write no life.
  it('keeps a row that does not tell how long it is needed', async () => {
    const hosts = new OriginHosts();
    const engines = [['engines', 'i-1', 'v1']];
    const streams = [[0, 's-1', CONTENT, 0]];
    const value = JSON.stringify({engines, streams});
    hosts.store.rows.set('host-0/1/0', value);
    const other = hosts.start('host-2');
    for (const ms of [EXPIRED_MS, 550 * SECOND_MS, EXPIRED_MS]) {
      assert.deepEqual((await hosts.find(other, 's-1')).versions, ['v1']);
      await hosts.find(other, 's-2');
      assert.equal(hosts.store.rows.size, 1);
      await hosts.clock.run(ms);
    }
    await hosts.find(other, 's-2');
    await hosts.clock.run(SECOND_MS);
    assert.equal(hosts.store.rows.size, 0);
  });
});

describe('a host whose wall clock is an hour ahead', () => {
  const HOUR_MS = 3_600_000;

  // Guards against a reader that takes all origins for expired.
  it('finds the origins that others saved, and keeps their rows', async () => {
    const hosts = new OriginHosts();
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    const ahead = hosts.start('host-2', () => HOUR_MS);
    const {versions} = await hosts.find(ahead, 's-1');
    await hosts.clock.run(SECOND_MS);
    assert.equal(hosts.store.rows.size, 1, 'rows');
    assert.deepEqual(versions, ['v1']);
  });

  // Guards against a reader whose clock jumps between two reads.
  it('keeps rows for their life though its clock jumps', async () => {
    const hosts = new OriginHosts();
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    let skewMs = -HOUR_MS;
    const other = hosts.start('host-2', () => skewMs);
    for (const next of [0, HOUR_MS, -HOUR_MS]) {
      assert.deepEqual((await hosts.find(other, 's-1')).versions, ['v1']);
      await hosts.find(other, 's-2');
      skewMs = next;
      await hosts.clock.run(5 * SECOND_MS);
      assert.equal(hosts.store.rows.size, 1);
    }
  });

  // Guards against a writer that deletes what it saved before its clock jumped.
  it('keeps what it saved before its clock jumped', async () => {
    const hosts = new OriginHosts();
    let skewMs = 0;
    const host = hosts.start('host-1', () => skewMs);
    host.save(createOriginRecord('s-1'));
    // Later streams go to another row.
    await hosts.clock.run(3 * SECOND_MS);
    skewMs = HOUR_MS;
    host.save(createOriginRecord('s-2'));
    host.startHeartbeat();
    await hosts.clock.run(SECOND_MS);
    const {versions} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions, ['v1']);
  });
});
