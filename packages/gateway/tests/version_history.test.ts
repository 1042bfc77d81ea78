/**
 * The history of software versions over the loss of hosts and of the store.
 *
 * Guards against a host that takes the versions that it sees now for all that
 * there were: a stream of another one would continue at the wrong version.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createWorld,
  getHost,
  KEEP_STEPS,
  listSorted,
  RESUMABLE_MS,
  startAnew,
  STEP_MS,
  VersionWorld,
} from './fixtures/version_world.js';

describe('the history of software versions', () => {
  it('is known soon after the first start', () => {
    const world = createWorld();
    for (const host of world.hosts) assert.deepEqual(listSorted(host), ['v1']);
  });

  it('keeps a version that is gone when all hosts are lost', () => {
    const world = createWorld();
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v1');
    const host = startAnew(world);
    assert.equal(listSorted(host), undefined);
    world.step();
    assert.deepEqual(listSorted(host), ['v1', 'v2']);
  });

  it('forgets a version when no stream of it can be resumed', () => {
    const world = createWorld();
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(Math.floor(RESUMABLE_MS / STEP_MS));
    assert.deepEqual(listSorted(getHost(world)), ['v1', 'v2']);
    world.step(KEEP_STEPS);
    assert.deepEqual(listSorted(getHost(world)), ['v2']);
    assert.equal(world.store.size, 1);
  });

  // Guards against the end of a version counted from its first absence.
  it('counts anew when a version comes back and leaves again', () => {
    const world = createWorld();
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(KEEP_STEPS - 10);
    world.addEndpoint('a', 'v1');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(20);
    assert.deepEqual(listSorted(getHost(world)), ['v1', 'v2']);
  });

  // Guards against a host that slept through a version's return and deletes
  // its row.
  it('keeps a version that came back while a host was frozen', () => {
    const world = createWorld();
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(10);
    getHost(world, 0).isFrozen = true;
    world.step(KEEP_STEPS - 20);
    world.addEndpoint('a', 'v1');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(10);
    getHost(world, 0).isFrozen = false;
    world.step(5);
    for (const host of world.hosts) {
      assert.deepEqual(listSorted(host), ['v1', 'v2']);
    }
  });

  // Guards against a host that slept, or was cut off, and deletes the row of a
  // version that was back meanwhile and could not be written again.
  for (const fault of ['isCut', 'isFrozen'] as const) {
    it(`keeps what was not saved again while a host ${fault}`, () => {
      const world = createWorld(2);
      world.addEndpoint('a', 'v2');
      world.step();
      world.removeEndpoint('a', 'v1');
      world.step(KEEP_STEPS - 10);
      const host = getHost(world);
      host[fault] = true;
      world.step(fault === 'isCut' ? 1 : 3);
      world.isReadOnly = true;
      world.addEndpoint('a', 'v1');
      world.step();
      world.removeEndpoint('a', 'v1');
      world.removeHost(getHost(world, 1));
      world.isReadOnly = false;
      host[fault] = false;
      world.step(20);
      assert.deepEqual(listSorted(host), ['v1', 'v2']);
      assert.equal(world.store.size, 2);
    });
  }

  // Guards against a row that is deleted as most hosts missed a short return.
  it('counts anew when only one host saw a version come back', () => {
    const world = createWorld();
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v1');
    world.step(KEEP_STEPS - 10);
    world.addBriefly(getHost(world, 1), 'a', 'v1');
    world.step(20);
    for (const host of world.hosts) {
      assert.deepEqual(listSorted(host), ['v1', 'v2']);
    }
    assert.equal(world.store.size, 2);
  });

  it('tells services apart', () => {
    const world = createWorld();
    world.addEndpoint('b', 'v2');
    world.step();
    assert.deepEqual(listSorted(getHost(world), 'a'), ['v1']);
    assert.deepEqual(listSorted(getHost(world), 'b'), ['v2']);
    assert.deepEqual(listSorted(getHost(world), 'c'), []);
  });

  it('saves a version that the first reader does not see', () => {
    const world = createWorld();
    getHost(world, 0).isCut = true;
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v2');
    getHost(world, 0).isCut = false;
    world.step(3);
    const host = startAnew(world);
    world.step();
    assert.deepEqual(listSorted(host), ['v1', 'v2']);
  });

  it('deletes the rows of a service that is gone', () => {
    const world = createWorld();
    world.removeEndpoint('a', 'v1');
    world.step(KEEP_STEPS);
    assert.equal(world.store.size, 0);
    assert.equal(listSorted(getHost(world)), undefined);
  });

  it('does not know the past of a service without a row', () => {
    const world = new VersionWorld();
    world.isReadOnly = true;
    world.addEndpoint('a', 'v1');
    const host = world.addHost();
    world.step();
    assert.equal(listSorted(host), undefined);
    world.isReadOnly = false;
    world.step(6);
    assert.deepEqual(listSorted(host), ['v1']);
  });

  it('ignores rows whose keys it cannot read, and no others', () => {
    const world = createWorld();
    for (const key of ['', 'a', '/v9', 'a/v8/v7', 'a/%', '%/v1']) {
      world.store.set(key, '{}');
    }
    world.store.set('a/v5', 'not JSON');
    world.step();
    assert.deepEqual(listSorted(getHost(world)), ['v1', 'v5']);
  });

  it('is saved again when the store was restored from an older copy', () => {
    const world = createWorld();
    const copy = new Map(world.store);
    world.addEndpoint('a', 'v2');
    world.step();
    world.removeEndpoint('a', 'v2');
    world.step();
    world.loadCopy(copy);
    world.step();
    const host = startAnew(world);
    world.step();
    assert.deepEqual(listSorted(host), ['v1', 'v2']);
  });

  it('writes a row for each new version, and nothing otherwise', () => {
    const world = createWorld(9);
    assert.equal(world.writeCalls, 1);
    world.step(100);
    assert.equal(world.writeCalls, 1);
    for (let index = 0; index < 25; index++) {
      world.addEndpoint('a', 'v2', `i-${index}`);
      world.step();
    }
    world.removeEndpoint('a', 'v1');
    world.step(100);
    assert.equal(world.writeCalls, 2);
    world.step(KEEP_STEPS);
    assert.equal(world.writeCalls, 3);
  });

  it('writes nothing when hosts are restarted', () => {
    const world = createWorld();
    for (let index = 0; index < 5; index++) {
      startAnew(world);
      world.step(5);
    }
    assert.equal(world.writeCalls, 1);
  });
});
