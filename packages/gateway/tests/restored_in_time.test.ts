/**
 * Changes of the configuration around restores of the store from a backup: each
 * change confirmed after a restore is in force on all hosts in time, and in the
 * end all hosts hold the same rows as the store.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableFleet} from './fixtures/table_fleet.js';

/** The promised time, in simulated ms. */
const MAX_DELAY_MS = 2000;
const SETTLE_MS = 8000;
const DRAIN_MS = 8000;
const RESTORE_COUNT = 3;
/** Shorter than a read of a table, in simulated ms. */
const CHANGE_INTERVAL_MS = 4;
const CHANGE_COUNT = 1500;
const SIZES = [
  {hosts: 3, domains: 3, seeds: [1, 2, 3, 4, 5, 6]},
  {hosts: 8, domains: 4, seeds: [1, 2, 3, 4, 5, 6]},
  {hosts: 60, domains: 6, seeds: [1, 2]},
];

/** Writes rows that the restored store will lack. */
async function writeRows(fleet: TableFleet): Promise<void> {
  const count = fleet.random.getInt(6);
  for (let at = 0; at < count; at++) {
    const isConfiguration = fleet.random.getInt(2) === 0;
    if (isConfiguration) fleet.writeChange();
    else fleet.store.put('endpoints', `i-${fleet.random.getInt(9)}`, 'entry');
    await fleet.clock.run(fleet.random.getInt(400));
  }
}

/** Restores the store while it is unavailable, then writes a new version. */
async function runRestore(fleet: TableFleet): Promise<number> {
  const snapshot = fleet.store.takeSnapshot();
  await writeRows(fleet);
  for (const {storeClient} of fleet.hosts) storeClient.state = 'busy';
  await fleet.clock.run(fleet.random.getInt(2500));
  fleet.store.loadSnapshot(snapshot);
  for (const {storeClient} of fleet.hosts) storeClient.state = 'open';
  await fleet.clock.run(fleet.random.getInt(1500));
  return fleet.writeChange();
}

/** Checks that the replicas of all hosts have the same rows as the store. */
function checkReplicas(fleet: TableFleet): void {
  const {rows} = fleet.store.listAll('endpoints');
  const expected = rows.map(({key}) => key).sort();
  for (const {name, tables} of fleet.hosts) {
    const held = tables.endpoints.replica.listAll().map(({key}) => key);
    assert.deepEqual(held.sort(), expected, name);
  }
}

describe('a store that is restored from a backup', () => {
  for (const {seeds, ...size} of SIZES) {
    it(`brings each change in time to ${size.hosts} hosts`, async () => {
      for (const seed of seeds) {
        const fleet = new TableFleet({...size, seed, lossPermille: 25});
        await fleet.start(SETTLE_MS);
        for (let count = 0; count < RESTORE_COUNT; count++) {
          const version = await runRestore(fleet);
          await fleet.clock.run(MAX_DELAY_MS);
          for (const host of fleet.hosts) {
            const delayMs = fleet.getDelayMs(host, version);
            const what = `seed ${seed}, ${host.name}: ${delayMs} ms`;
            assert.ok(delayMs <= MAX_DELAY_MS, what);
          }
        }
        await fleet.clock.run(DRAIN_MS);
        checkReplicas(fleet);
        fleet.stop();
      }
    });
  }

  // Guards against a grace period that never ends, because each read of the
  // whole table sees changes made while it was running.
  it('loses what is not written again though other rows keep changing', async () => {
    const fleet = new TableFleet({hosts: 8, domains: 4, seed: 1});
    await fleet.start(SETTLE_MS);
    const {store, clock} = fleet;
    const snapshot = store.takeSnapshot();
    store.put('endpoints', 'i-lost', 'entry');
    await clock.run(DRAIN_MS);
    store.loadSnapshot(snapshot);
    for (let change = 0; change < CHANGE_COUNT; change++) {
      store.put('endpoints', `i-${change % 9}`, `entry ${change}`);
      await clock.run(CHANGE_INTERVAL_MS);
    }
    for (const {name, tables} of fleet.hosts) {
      const row = tables.endpoints.replica.find('i-lost');
      assert.equal(row?.value, undefined, name);
    }
    fleet.stop();
  });
});
