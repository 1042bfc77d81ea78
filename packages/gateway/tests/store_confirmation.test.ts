/** Reads of the store that confirm replicas for resumed streams. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StoreConfirmation} from '../src/services/store_confirmation.js';
import {SILENT_LOG} from './fixtures/silent_log.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const READ_MS = 20;
const SECOND_MS = 1000;
/** The target: ten reads a second of one host. */
const MAX_READS = 10;

/** A store whose answers take some time, or never come. */
class SimulatedStore {
  readonly clock = new VirtualClock();
  /** When each read began and ended. */
  readonly reads: {readonly from: number; readonly to: number}[] = [];
  isSilent = false;
  isAway = false;
  readonly confirmation = new StoreConfirmation({
    read: () => this.read(),
    isStoreAway: () => this.isAway,
    clock: this.clock,
    log: SILENT_LOG,
  });

  private async read(): Promise<boolean> {
    const from = this.clock.getNow();
    if (this.isSilent) return new Promise(() => undefined);
    await this.clock.wait(READ_MS);
    this.reads.push({from, to: this.clock.getNow()});
    return true;
  }
}

describe('a confirmation by the store', () => {
  // Guards against a read that began before a request and misses a version,
  // and against calls for each of many resumed streams.
  it('begins after each request, in few reads', async () => {
    const store = new SimulatedStore();
    const {clock, confirmation, reads} = store;
    const requests: Promise<void>[] = [];
    for (let ms = 0; ms < SECOND_MS; ms++) {
      const at = clock.getNow();
      const request = confirmation.run().then((isRead) => {
        const now = clock.getNow();
        assert.ok(isRead);
        assert.ok(reads.some(({from, to}) => from >= at && to <= now));
      });
      requests.push(request);
      await clock.run(1);
    }
    await clock.run(SECOND_MS);
    await Promise.all(requests);
    assert.ok(reads.length <= MAX_READS + 1, `${reads.length} reads`);
  });

  it('fails in time if the store does not answer', async () => {
    const store = new SimulatedStore();
    const {clock, confirmation} = store;
    store.isSilent = true;
    const answers: boolean[] = [];
    void confirmation.run().then((isRead) => answers.push(isRead));
    await clock.run(SECOND_MS);
    assert.deepEqual(answers, [false]);
    store.isAway = true;
    assert.equal(await confirmation.run(), false);
  });
});
