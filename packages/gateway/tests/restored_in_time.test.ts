/**
 * Changes of the configuration around restores of the store from an older copy:
 * each that is confirmed is in force everywhere in time, and in the end all hosts
 * hold what the store does.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableFleet} from './fixtures/table_fleet.js';

/** The promise, in simulated ms. */
const IN_FORCE_MS = 2000;
const SETTLE_MS = 8000;
const LONG_MS = 8000;
const RESTORES = 3;
/** Less than a read of a table takes, in simulated ms. */
const CHANGE_MS = 4;
const CHANGES = 1500;
const SIZES = [
  {hosts: 3, domains: 3, seeds: [1, 2, 3, 4, 5, 6]},
  {hosts: 8, domains: 4, seeds: [1, 2, 3, 4, 5, 6]},
  {hosts: 60, domains: 6, seeds: [1, 2]},
];

/** Writes rows that the restored store may lack. */
async function writeSome(fleet: TableFleet): Promise<void> {
  const count = fleet.random.getInt(6);
  for (let at = 0; at < count; at++) {
    const isConfiguration = fleet.random.getInt(2) === 0;
    if (isConfiguration) fleet.writeChange();
    else fleet.store.put('endpoints', `i-${fleet.random.getInt(9)}`, 'entry');
    await fleet.clock.run(fleet.random.getInt(400));
  }
}

/** Restores the store while it is away; the operator writes again after it. */
async function runRestore(fleet: TableFleet): Promise<number> {
  const snapshot = fleet.store.takeSnapshot();
  await writeSome(fleet);
  for (const {storeClient: door} of fleet.hosts) door.state = 'busy';
  await fleet.clock.run(fleet.random.getInt(2500));
  fleet.store.loadSnapshot(snapshot);
  for (const {storeClient: door} of fleet.hosts) door.state = 'open';
  await fleet.clock.run(fleet.random.getInt(1500));
  return fleet.writeChange();
}

/** Checks that all hosts hold the rows that the store has. */
function checkSame(fleet: TableFleet): void {
  const {rows} = fleet.store.listAll('endpoints');
  const expected = rows.map(({key}) => key).sort();
  for (const {name, tables} of fleet.hosts) {
    const held = tables.endpoints.replica.listAll().map(({key}) => key);
    assert.deepEqual(held.sort(), expected, name);
  }
}

describe('a store that is restored from an older copy', () => {
  for (const {seeds, ...size} of SIZES) {
    it(`brings each change in time to ${size.hosts} hosts`, async () => {
      for (const seed of seeds) {
        const fleet = new TableFleet({...size, seed, lossPermille: 25});
        await fleet.start(SETTLE_MS);
        for (let count = 0; count < RESTORES; count++) {
          const version = await runRestore(fleet);
          await fleet.clock.run(IN_FORCE_MS);
          for (const host of fleet.hosts) {
            const delayMs = fleet.getDelayMs(host, version);
            const what = `seed ${seed}, ${host.name}: ${delayMs} ms`;
            assert.ok(delayMs <= IN_FORCE_MS, what);
          }
        }
        await fleet.clock.run(LONG_MS);
        checkSame(fleet);
        fleet.stop();
      }
    });
  }

  it('loses what is not written again though other rows keep changing', async () => {
    const fleet = new TableFleet({hosts: 8, domains: 4, seed: 1});
    await fleet.start(SETTLE_MS);
    const {store, clock} = fleet;
    const snapshot = store.takeSnapshot();
    store.put('endpoints', 'i-lost', 'entry');
    await clock.run(LONG_MS);
    store.loadSnapshot(snapshot);
    for (let change = 0; change < CHANGES; change++) {
      store.put('endpoints', `i-${change % 9}`, `entry ${change}`);
      await clock.run(CHANGE_MS);
    }
    for (const {name, tables} of fleet.hosts) {
      const row = tables.endpoints.replica.find('i-lost');
      assert.equal(row?.value, undefined, name);
    }
    fleet.stop();
  });
});
