/**
 * Times in which hosts know no past: after an upgrade from a release without the
 * history, and while streams may have begun on former routes.
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

describe('the history of the routes of streams', () => {
  function createRoutedWorld(): VersionWorld {
    const world = new VersionWorld();
    world.addEndpoint('a', 'v1');
    world.addEndpoint('b', 'v1');
    world.routing = 'a';
    for (let index = 0; index < 3; index++) world.addHost();
    world.step();
    return world;
  }

  // Guards against a host that takes the service to which a route leads now
  // for the one that began a stream.
  it('leaves the past unknown to a host that starts after a change', () => {
    const world = createRoutedWorld();
    assert.deepEqual(listSorted(getHost(world)), ['v1']);
    world.removeAllHosts();
    world.routing = 'b';
    const host = world.addHost();
    world.step();
    for (const service of ['a', 'b']) {
      assert.equal(listSorted(host, service), undefined);
    }
  });

  it('leaves the past unknown at once on hosts that saw the change', () => {
    const world = createRoutedWorld();
    world.routing = 'b';
    for (const host of world.hosts) assert.equal(listSorted(host), undefined);
  });

  it('is over when no stream of the former routes can be resumed', () => {
    const world = createRoutedWorld();
    world.routing = 'b';
    world.step(KEEP_STEPS);
    assert.deepEqual(listSorted(getHost(world), 'b'), ['v1']);
    assert.equal(world.store.size, 3);
  });

  it('makes no service without a row one that had no version', () => {
    const world = new VersionWorld();
    world.routing = 'a';
    const host = world.addHost();
    world.step(2);
    assert.equal(world.store.size, 1);
    assert.equal(listSorted(host), undefined);
  });

  it('leaves the past unknown until its first row is written', () => {
    const world = createWorld();
    world.isReadOnly = true;
    world.routing = 'a';
    world.step(2);
    assert.equal(listSorted(getHost(world)), undefined);
    world.isReadOnly = false;
    world.step(6);
    assert.deepEqual(listSorted(getHost(world)), ['v1']);
  });
});

describe('the history after an upgrade from a release without it', () => {
  // Guards against the first rows taken for all versions that served.
  it('is not known until no earlier stream can be resumed', () => {
    const world = new VersionWorld();
    world.hasEarlierRows = true;
    world.addEndpoint('a', 'v2');
    world.addHost();
    world.addHost();
    world.step(Math.floor(RESUMABLE_MS / STEP_MS));
    for (const service of ['a', 'b']) {
      assert.equal(listSorted(getHost(world), service), undefined);
    }
    world.step(KEEP_STEPS);
    assert.deepEqual(listSorted(getHost(world), 'a'), ['v2']);
    assert.deepEqual(listSorted(getHost(world, 1), 'b'), []);
    assert.equal(world.store.size, 1);
  });

  it('is not known when all hosts are lost, and counted anew', () => {
    const world = new VersionWorld();
    world.hasEarlierRows = true;
    world.addEndpoint('a', 'v2');
    world.addHost();
    world.step();
    // By now hosts of this release have replaced the earlier rows.
    world.hasEarlierRows = false;
    world.step(KEEP_STEPS - 10);
    const host = startAnew(world);
    world.step(KEEP_STEPS - 10);
    assert.equal(listSorted(host), undefined);
    world.step(10);
    assert.deepEqual(listSorted(host), ['v2']);
  });

  it('saves no version while it is not known what was before', () => {
    const world = new VersionWorld();
    world.hasEarlierRows = undefined;
    world.addEndpoint('a', 'v2');
    const host = world.addHost();
    world.step(5);
    assert.equal(world.store.size, 0);
    assert.equal(listSorted(host), undefined);
    world.hasEarlierRows = false;
    world.step();
    assert.deepEqual(listSorted(host), ['v2']);
  });
});

describe('the history while the store is away', () => {
  // Guards against refusals in a deployment with one version.
  it('is known to hosts that reach each other', () => {
    const world = createWorld();
    world.isStoreAway = true;
    world.step(100);
    for (const host of world.hosts) assert.deepEqual(listSorted(host), ['v1']);
  });

  it('is not known to hosts that have lost sight of another one', () => {
    const world = createWorld();
    world.isStoreAway = true;
    getHost(world, 2).isFrozen = true;
    world.step();
    assert.equal(listSorted(getHost(world)), undefined);
  });

  it('is not known to a host that is cut off', () => {
    const world = createWorld();
    getHost(world, 1).isCut = true;
    world.step();
    assert.equal(listSorted(getHost(world, 1)), undefined);
    assert.deepEqual(listSorted(getHost(world, 0)), ['v1']);
  });

  it('is not known to a host that has just started', () => {
    const world = createWorld();
    world.isStoreAway = true;
    const host = world.addHost();
    world.step(5);
    assert.equal(listSorted(host), undefined);
  });

  it('is not known while an endpoint of unknown version serves', () => {
    const world = createWorld();
    world.isStoreAway = true;
    world.step();
    world.addAssumed(getHost(world), 'a', 'x');
    assert.equal(listSorted(getHost(world)), undefined);
    world.listAssumed('a', 'v2', 'x');
    world.isStoreAway = false;
    world.step();
    assert.deepEqual(listSorted(getHost(world)), ['v1', 'v2']);
  });

  it('is not known for a while if such an endpoint is never listed', () => {
    const world = createWorld();
    world.isStoreAway = true;
    world.step();
    world.addAssumed(getHost(world), 'a', 'x');
    world.step();
    world.isStoreAway = false;
    world.step(2);
    assert.equal(listSorted(getHost(world)), undefined);
    const host = startAnew(world);
    world.step();
    assert.equal(listSorted(host), undefined);
    world.step(KEEP_STEPS);
    assert.deepEqual(listSorted(host), ['v1']);
  });
});
