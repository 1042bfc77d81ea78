/** When a host may conclude from its replicas which versions a service had. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HistoryCurrency} from '../src/services/history_currency.js';

const SECOND_MS = 1000;
const KEEP_MS = 660_000;
/** The host stops for this time; other hosts take it for lost, in ms. */
const PAUSE_MS = 30 * SECOND_MS;

/** A host that considers another one alive until it notices otherwise. */
class SimulatedCurrency {
  now = 0;
  /** When the replicas were last current. */
  currentAt = 0;
  isAlone = false;
  readonly currency = new HistoryCurrency({
    isLoaded: () => true,
    getAgeMs: (_, now) => now - this.currentAt,
    listAlive: () => (this.isAlone ? [] : [{name: 'h-2', state: 'ready'}]),
    keepMs: KEEP_MS,
  });

  get isKnown(): boolean {
    return this.currency.isKnown(this.now);
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

/** The ages of replicas, in ms. */
interface Ages {
  endpoints: number;
  versions: number;
}

describe('the history of a host', () => {
  // Guards against a host that was cut off or stopped, reads the endpoints
  // again and takes its history from before for current: a version may have
  // come and gone meanwhile.
  for (const fault of ['cut off', 'stopped'] as const) {
    it(`is read again once it is no longer ${fault}`, () => {
      const ages: Ages = {endpoints: 0, versions: 0};
      const reached = [{name: 'h-2', state: 'ready'} as const];
      const currency = new HistoryCurrency({
        isLoaded: () => true,
        getAgeMs: (table) =>
          table === 'versions' ? ages.versions : ages.endpoints,
        listAlive: () => reached,
        keepMs: KEEP_MS,
      });
      currency.update(0);
      assert.ok(currency.isKnown(0));
      reached.length = 0;
      if (fault === 'cut off') {
        for (let now = 0; now <= PAUSE_MS; now += SECOND_MS) {
          ages.endpoints = now;
          ages.versions = now;
          currency.update(now);
        }
      }
      Object.assign(ages, {endpoints: 0, versions: PAUSE_MS});
      const now = PAUSE_MS + SECOND_MS;
      assert.ok(!currency.isKnown(now), 'before the first check');
      currency.update(now);
      assert.ok(!currency.isKnown(now), 'before the history was read');
      ages.versions = 100;
      assert.ok(!currency.isKnown(now + 50), 'read before the endpoints');
      assert.ok(currency.isKnown(now + 200));
    });
  }

  it('stays known while the store is away', () => {
    const host = new SimulatedCurrency();
    host.run(3);
    host.run(60, true);
    assert.ok(host.isKnown);
  });

  // Guards against a host that was cut off while the store went away: the hosts
  // that it reaches again have read versions that it never saw.
  it('is unknown after other hosts were out of reach, until it is current', () => {
    const host = new SimulatedCurrency();
    host.run(3);
    host.isAlone = true;
    host.run(10, true);
    assert.ok(!host.isKnown, 'while it reaches no host');
    host.isAlone = false;
    host.run(3, true);
    assert.ok(!host.isKnown, 'while the store is away');
    host.run(2);
    assert.ok(host.isKnown);
  });

  // Guards against a host that was stopped and, before it notices that it
  // reaches no other host, takes a history from before the pause for current:
  // another version may have begun streams meanwhile.
  it('is unknown after a pause, until it is current again', () => {
    const host = new SimulatedCurrency();
    host.run(3);
    host.now += PAUSE_MS;
    assert.ok(!host.isKnown, 'before the first check');
    host.run(3, true);
    assert.ok(!host.isKnown, 'before the replicas are current');
    host.run(1);
    assert.ok(host.isKnown);
  });
});
