/** Origins of streams in the store, after the hosts that saved them are lost. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@irisdock/kernel';
import fc from 'fast-check';
import {MAX_ROW_BYTES} from '../src/model/row_chunks.js';
import {
  CONTENT,
  createOriginRecord,
  LATE_WRITE_MS,
  OriginHosts,
  ROUND_TRIP_MS,
} from './fixtures/origin_hosts.js';

const SECOND_MS = 1000;
const INTERVAL_MS = 250;
/** By then rows have expired by any clock, in ms. */
const EXPIRED_MS = 100_000;
/** How long a read may take in a slow store, in ms. */
const SLOW_READ_MS = 1500;
/** How long a lookup may take, in ms, with a step of the simulation. */
const MAX_WAIT_MS = 500 + ROUND_TRIP_MS;
const RUN_OPTIONS = {seed: 20261204, numRuns: 60};

describe('the origins that a host saves', () => {
  it('are found by a host that started after it was lost', async () => {
    const hosts = new OriginHosts();
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    const {versions, isRead} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions, ['v1']);
    assert.ok(isRead);
  });

  // Guards against reads that are dropped and sent again as long as the store is
  // slower than the limit of a call: no resumed stream goes on then.
  it('are found once a slow store has answered', async () => {
    const hosts = new OriginHosts();
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    hosts.store.readMs = SLOW_READ_MS;
    const host = hosts.start();
    const refused = await hosts.find(host, 's-1');
    assert.ok(!refused.isRead && refused.ms <= MAX_WAIT_MS);
    await hosts.clock.run(5 * SLOW_READ_MS);
    assert.deepEqual((await hosts.find(host, 's-1')).versions, ['v1']);
  });

  it('are neither written nor read while one version is possible', async () => {
    const hosts = new OriginHosts();
    hosts.possible.set('engines', ['v1']);
    const host = hosts.start();
    for (let second = 0; second < 30; second++) {
      host.save(createOriginRecord(`s-${second}`));
      host.startHeartbeat();
      await hosts.clock.run(SECOND_MS);
    }
    assert.equal(hosts.store.writesAt.length + hosts.store.reads, 0);
  });

  // Their version was the only one when they began, and later it is not.
  it('include streams that began before another version did', async () => {
    const hosts = new OriginHosts();
    hosts.possible.set('engines', ['v1']);
    const host = hosts.start();
    host.save(createOriginRecord('s-1'));
    host.startHeartbeat();
    await hosts.clock.run(SECOND_MS);
    hosts.possible.set('engines', ['v1', 'v2']);
    host.startHeartbeat();
    await hosts.clock.run(ROUND_TRIP_MS);
    const {versions} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions, ['v1']);
  });

  it('are written while the past of the service is unknown', async () => {
    const hosts = new OriginHosts();
    hosts.possible.set('engines', undefined);
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(ROUND_TRIP_MS);
    assert.equal(hosts.store.rows.size, 1);
  });

  it('cost a bounded number of calls under load, each row bounded', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    for (let step = 0; step < 1000; step++) {
      for (let index = 0; index < 5; index++) {
        host.save(createOriginRecord(`s-${step}-${index}`));
      }
      await hosts.clock.run(10);
    }
    const {writesAt, rows, largestRow} = hosts.store;
    assert.ok(writesAt.length <= 10 * 4 + 1, `${writesAt.length} writes`);
    assert.ok(largestRow < MAX_ROW_BYTES, `${largestRow} bytes`);
    assert.ok(rows.size < 100, `${rows.size} rows`);
    await hosts.clock.run(INTERVAL_MS);
    const {versions} = await hosts.find(hosts.start(), 's-999-4');
    assert.deepEqual(versions, ['v1']);
  });

  it('wait longer where there are many hosts', async () => {
    const hosts = new OriginHosts(400);
    const host = hosts.start();
    for (let second = 0; second < 60; second++) {
      host.save(createOriginRecord(`s-${second}`));
      await hosts.clock.run(SECOND_MS);
    }
    assert.ok(hosts.store.writesAt.length <= 7);
  });

  it('are written once the store is back, and retries are bounded', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    hosts.store.state = 'silent';
    for (let index = 0; index < 60; index++) {
      host.save(createOriginRecord(`s-${index}`));
      await hosts.clock.run(SECOND_MS);
    }
    assert.ok(hosts.store.writesAt.length < 20);
    hosts.store.state = 'open';
    await hosts.clock.run(10 * SECOND_MS);
    const other = hosts.start();
    for (const id of ['s-45', 's-59']) {
      assert.deepEqual((await hosts.find(other, id)).versions, ['v1']);
    }
  });

  // A write without an answer may replace a row with an older text of it.
  it('survive writes that take effect late', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    hosts.store.state = 'late';
    host.save(createOriginRecord('s-1'));
    await hosts.clock.run(INTERVAL_MS);
    host.save(createOriginRecord('s-2'));
    hosts.store.state = 'open';
    await hosts.clock.run(SECOND_MS);
    host.save(createOriginRecord('s-3'));
    await hosts.clock.run(LATE_WRITE_MS + SECOND_MS);
    const other = hosts.start();
    for (const id of ['s-1', 's-2', 's-3']) {
      assert.deepEqual((await hosts.find(other, id)).versions, ['v1'], id);
    }
  });

  it('are written again after the store was restored', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    host.save(createOriginRecord('s-1'));
    await hosts.clock.run(SECOND_MS);
    hosts.store.rows.clear();
    host.saveAgain();
    await hosts.clock.run(ROUND_TRIP_MS);
    assert.equal(hosts.store.rows.size, 1);
  });

  it('are deleted with a later write, or without one in the end', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    for (let index = 0; index < 40; index++) {
      host.save(createOriginRecord(`s-${index}`));
      host.startHeartbeat();
      await hosts.clock.run(2 * SECOND_MS);
    }
    assert.ok(hosts.store.rows.size <= 12, `${hosts.store.rows.size} rows`);
    const writes = hosts.store.writesAt.length;
    for (let second = 0; second < 200; second++) {
      host.startHeartbeat();
      await hosts.clock.run(SECOND_MS);
    }
    assert.equal(hosts.store.rows.size, 0);
    assert.ok(hosts.store.writesAt.length <= writes + 2);
  });

  it('are written once more when the host stops', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    host.save(createOriginRecord('s-1'));
    host.save(createOriginRecord('s-2'));
    const stopped = host.stop();
    await hosts.clock.run(SECOND_MS);
    await stopped;
    const {versions} = await hosts.find(hosts.start(), 's-2');
    assert.deepEqual(versions, ['v1']);
  });

  it('are all found after any series of faults of the store', async () => {
    const states = fc.array(fc.constantFrom('open', 'late', 'busy', 'silent'), {
      minLength: 1,
      maxLength: 12,
    });
    const property = fc.asyncProperty(
      states,
      fc.integer({min: 0, max: 1_000_000}),
      async (series, seed) => {
        const random = new SeededRandom(seed);
        const hosts = new OriginHosts();
        const host = hosts.start();
        const saved: string[] = [];
        for (const state of series) {
          hosts.store.state = state;
          const count = random.getInt(4);
          for (let index = 0; index < count; index++) {
            const id = `s-${saved.length}`;
            const remainingMs = EXPIRED_MS;
            host.save(createOriginRecord(id, {remainingMs}));
            saved.push(id);
            await hosts.clock.run(random.getInt(400));
          }
        }
        hosts.store.state = 'open';
        await hosts.clock.run(10 * SECOND_MS);
        const other = hosts.start();
        for (const id of saved) {
          assert.deepEqual((await hosts.find(other, id)).versions, ['v1'], id);
        }
      },
    );
    await fc.assert(property, RUN_OPTIONS);
  });
});

describe('a host that looks origins up in the store', () => {
  it('reads a few times though thousands of callers return', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    for (let index = 0; index < 500; index++) {
      host.save(createOriginRecord(`s-${index}`));
    }
    await hosts.clock.run(SECOND_MS);
    const other = hosts.start();
    const found: Promise<number>[] = [];
    for (let index = 0; index < 1000; index++) {
      const key = {streamId: `s-${index}`, content: CONTENT};
      found.push(other.find(key).then(({records}) => records.length));
      await hosts.clock.run(1);
    }
    await hosts.clock.run(SECOND_MS);
    const counts = await Promise.all(found);
    assert.equal(counts.filter((count) => count === 1).length, 500);
    assert.ok(hosts.store.reads <= 5, `${hosts.store.reads} reads`);
  });

  it('tells in bounded time that the store does not answer', async () => {
    const hosts = new OriginHosts();
    hosts.store.state = 'silent';
    const {versions, isRead, ms} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions, []);
    assert.equal(isRead, false);
    assert.ok(ms <= 500 + ROUND_TRIP_MS, `${ms} ms`);
  });

  it('finds rows that another host writes later', async () => {
    const hosts = new OriginHosts();
    const other = hosts.start('host-2');
    assert.deepEqual((await hosts.find(other, 's-1')).versions, []);
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(SECOND_MS);
    assert.deepEqual((await hosts.find(other, 's-1')).versions, ['v1']);
  });

  it('shows rows of two hosts that contradict each other', async () => {
    const hosts = new OriginHosts();
    hosts.start('host-1').save(createOriginRecord('s-1'));
    hosts.start('host-2').save(createOriginRecord('s-1', {version: 'v2'}));
    await hosts.clock.run(SECOND_MS);
    const {versions} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions.sort(), ['v1', 'v2']);
  });

  it('finds all streams of a content if no attempt is named', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    for (let index = 0; index < 9; index++) {
      const version = index === 0 ? 'v2' : 'v1';
      host.save(createOriginRecord(`s-${index}`, {version}));
    }
    host.save(createOriginRecord('s-9', {content: 'other', version: 'v3'}));
    await hosts.clock.run(SECOND_MS);
    const remainingMs = 19_000;
    const {versions} = await hosts.find(hosts.start(), undefined, remainingMs);
    assert.deepEqual(versions.sort(), ['v1', 'v2']);
  });

  // A row of seconds, or a wait for the store, must not hide the stream.
  it('tells callers that name no attempt apart by their deadline', async () => {
    const hosts = new OriginHosts();
    const host = hosts.start();
    for (let index = 0; index < 9; index++) {
      const remainingMs = 20_000 + 2500 * index;
      const version = index === 4 ? 'v2' : 'v1';
      host.save(createOriginRecord(`s-${index}`, {version, remainingMs}));
    }
    await hosts.clock.run(3 * SECOND_MS);
    const other = hosts.start();
    for (const differenceMs of [-900, 0, 900]) {
      const remainingMs = 27_000 + differenceMs;
      const {versions} = await hosts.find(other, undefined, remainingMs);
      assert.deepEqual(versions, ['v2'], `${differenceMs} ms`);
    }
    assert.deepEqual((await hosts.find(other, undefined)).versions, []);
  });

  it('ignores rows that it cannot read', async () => {
    const hosts = new OriginHosts();
    hosts.store.rows.set('other/1/0', '{"engines": 5}');
    hosts.store.rows.set('other/1/1', 'not JSON');
    hosts.start().save(createOriginRecord('s-1'));
    await hosts.clock.run(SECOND_MS);
    const {versions} = await hosts.find(hosts.start(), 's-1');
    assert.deepEqual(versions, ['v1']);
    assert.equal(hosts.store.rows.size, 3);
  });
});
