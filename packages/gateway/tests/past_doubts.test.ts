/** Why a host does not know which software versions a service had. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  HistoryCurrency,
  type ReachedHost,
} from '../src/services/history_currency.js';
import {createWorld, getHost, VersionWorld} from './fixtures/version_world.js';

const SECOND_MS = 1000;
const PAUSE_MS = 30 * SECOND_MS;
const KEEP_MS = 660_000;

/** A host whose replicas are current while it reads the store. */
class SimulatedHistory {
  now = 0;
  isLoaded = true;
  alive: readonly ReachedHost[] = [{name: 'h-2', state: 'ready'}];
  private currentAt = -Infinity;
  private readonly currency = new HistoryCurrency({
    isLoaded: () => this.isLoaded,
    getAgeMs: (_, now) => now - this.currentAt,
    listAlive: () => this.alive,
    keepMs: KEEP_MS,
  });

  get doubt(): string | undefined {
    return this.currency.findDoubt(this.now);
  }

  /** Runs for some seconds, with the store in reach or not. */
  run(seconds: number, isStoreAway = false): void {
    for (let second = 0; second < seconds; second++) {
      this.now += SECOND_MS;
      if (!isStoreAway) this.currentAt = this.now;
      this.currency.update(this.now);
    }
  }
}

// Guards against causes that logs and metrics cannot tell apart.
describe('an unknown past', () => {
  it('is that of a host that has not read its tables', () => {
    const host = new SimulatedHistory();
    host.isLoaded = false;
    host.run(3, true);
    assert.equal(host.doubt, 'tables_unread');
  });

  it('is that of a host whose tables were never current', () => {
    const host = new SimulatedHistory();
    host.run(3, true);
    assert.equal(host.doubt, 'tables_old');
    host.run(1);
    assert.equal(host.doubt, undefined);
  });

  it('is that of a host that was stopped', () => {
    const host = new SimulatedHistory();
    host.run(3);
    host.now += PAUSE_MS;
    assert.equal(host.doubt, 'host_paused');
  });

  it('is that of a host that misses another one', () => {
    const host = new SimulatedHistory();
    host.run(3);
    host.run(3, true);
    assert.equal(host.doubt, undefined);
    host.alive = [];
    assert.equal(host.doubt, 'host_missing');
  });

  it('is that of a service without a row', () => {
    const world = createWorld();
    const {versions} = getHost(world);
    assert.equal(versions.findDoubt('a'), undefined);
    world.isReadOnly = true;
    world.addEndpoint('new', 'v1');
    world.step();
    assert.equal(versions.findDoubt('new'), 'no_first_row');
  });

  it('is that of a service with an endpoint of an assumed version', () => {
    const world = createWorld();
    const host = getHost(world);
    world.isStoreAway = true;
    world.step();
    world.addAssumed(host, 'a', 'x');
    assert.equal(host.versions.findDoubt('a'), 'version_unknown');
  });

  it('is that of routes that have changed', () => {
    const world = createWorld();
    world.routing = 'a';
    world.step();
    world.routing = 'b';
    world.step();
    const {versions} = getHost(world);
    assert.equal(versions.findDoubt('a'), 'routes_changed');
  });

  it('is that of a release without the history', () => {
    const world = new VersionWorld();
    world.hasEarlierRows = true;
    world.addEndpoint('a', 'v2');
    const host = world.addHost();
    world.step();
    assert.equal(host.versions.findDoubt('a'), 'earlier_release');
  });
});
