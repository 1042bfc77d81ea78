/**
 * A change of the configuration that the store has confirmed is in force on
 * every host that reaches the store within the promised time, whatever the
 * hosts that read the store for all go through.
 *
 * Hosts of a deployment went on running requests by version 114 after a newer
 * one had been confirmed for over two seconds. Their logs show that the first
 * reader was out of touch with the store (`Who reads the store has changed.`,
 * `role: listener` for the host that comes first by name) and that a host that
 * had just started (line 10 of its life) was first in line. Here the store
 * keeps silent towards the three readers: each notices only when its call has
 * run out (wait and time-out, 2 s for the first, 3.5 s for the others), nobody
 * else asks the store, and nothing bounds the age of what the rest go by. The
 * last of the other hosts got the change after 2377 ms at 8 hosts and 2919 ms at 60
 * (seed 1).
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableFleet, type FleetHost} from './fixtures/table_fleet.js';

/** The promise, and the aim while nothing is wrong, in simulated ms. */
const IN_FORCE_MS = 2000;
const CALM_MS = 500;
const SEEDS = [1, 2, 3];
const SETTLE_MS = 8000;
/** Far longer than any change may take. */
const LONG_MS = 8000;

interface FleetSize {
  readonly hosts: number;
  readonly domains: number;
}

/** The size of the incident, and one at which hosts form groups. */
const SIZES: readonly FleetSize[] = [
  {hosts: 8, domains: 4},
  {hosts: 60, domains: 6},
];

async function createFleet(size: FleetSize, seed: number): Promise<TableFleet> {
  const fleet = new TableFleet({...size, seed});
  await fleet.start(SETTLE_MS);
  return fleet;
}

/** Gives how late the last of the hosts had any of the versions, in ms. */
function getMostDelayMs(
  fleet: TableFleet,
  versions: readonly number[],
  isLeftOut: (host: FleetHost) => boolean = () => false,
): number {
  let most = 0;
  for (const host of fleet.hosts) {
    if (isLeftOut(host)) continue;
    for (const version of versions) {
      most = Math.max(most, fleet.getDelayMs(host, version));
    }
  }
  return most;
}

for (const size of SIZES) {
  for (const seed of SEEDS) {
    describe(`a change at ${size.hosts} hosts, seed ${seed},`, () => {
      /*
       * The row of a configuration is larger than a datagram, so no change of
       * it was ever pushed (0 of some 150 in a play): each host waited for the
       * next message of another, 250 ms of grace and its next beat. At 60
       * hosts the last one had it after 1.3 s.
       */
      it('is in force at once while nothing is wrong', async () => {
        const fleet = await createFleet(size, seed);
        const versions: number[] = [];
        for (let round = 0; round < 20; round++) {
          versions.push(fleet.writeChange());
          await fleet.clock.run(1000 + fleet.random.getInt(300));
        }
        await fleet.clock.run(LONG_MS);
        fleet.stop();
        const most = getMostDelayMs(fleet, versions);
        assert.ok(most <= CALM_MS, `${most} ms`);
      });

      /*
       * A host that hears no other one and reaches the store was behind for as
       * long as it lasted (60 hosts, seeds 1 to 3): it believed for seconds that
       * others read for it.
       */
      it('is in force in time on a host that hears no other one', async () => {
        const fleet = await createFleet(size, seed);
        const alone = fleet.hosts.at(-1);
        fleet.isPartitioned = (one, other) => one === alone || other === alone;
        const versions: number[] = [];
        for (let round = 0; round < 10; round++) {
          versions.push(fleet.writeChange());
          await fleet.clock.run(700);
        }
        await fleet.clock.run(LONG_MS);
        fleet.stop();
        const most = getMostDelayMs(fleet, versions);
        assert.ok(most <= IN_FORCE_MS, `${most} ms`);
      });

      it('is in force in time while the store is silent for its readers', async () => {
        const fleet = await createFleet(size, seed);
        const versions: number[] = [];
        const silent = new Set<FleetHost>();
        for (let round = 0; round < 6; round++) {
          const readers = fleet.listReaders(fleet.hosts[0]);
          for (const reader of readers) reader.storeClient.state = 'silent';
          for (const reader of readers) silent.add(reader);
          await fleet.clock.run(100 + fleet.random.getInt(400));
          versions.push(fleet.writeChange());
          await fleet.clock.run(LONG_MS);
          for (const reader of readers) reader.storeClient.state = 'open';
          await fleet.clock.run(LONG_MS);
        }
        fleet.stop();
        const most = getMostDelayMs(fleet, versions, (host) =>
          silent.has(host),
        );
        assert.ok(most <= IN_FORCE_MS, `${most} ms`);
      });
    });
  }
}

/*
 * A host that had just started was first in line to read the store (`reader 0`
 * on line 10 of its life), 1.6 s after the reader before it had stopped, as
 * that one counted it as soon as it was heard of. Until a host has a copy it
 * reads for nobody.
 */
describe('a host that starts', () => {
  it('takes no place among the readers before it has a copy', async () => {
    const fleet = await createFleet({hosts: 8, domains: 4}, 1);
    const [reader] = fleet.listReaders(fleet.hosts[0]);
    const other = fleet.hosts.find((host) => host !== reader);
    assert.ok(reader !== undefined && other !== undefined);
    reader.kill();
    await fleet.clock.run(LONG_MS);
    // It knows nobody, and the store says nothing to it: it cannot get a copy.
    void reader.start([]);
    reader.storeClient.state = 'silent';
    const before = fleet.listReaders(other);
    for (let beat = 0; beat < 10; beat++) {
      await fleet.clock.run(100);
      if (reader.version > 0) break;
      assert.deepEqual(fleet.listReaders(other), before);
    }
    fleet.stop();
  });
});

/*
 * A row that is written anew with the same value raises the revision of the
 * host that read it, and was not passed on. The next change followed on a
 * revision that no other host had, so each of them had to ask for it.
 */
describe('a row that is written anew with the same value', () => {
  it('leaves no host behind that has to ask for what follows', async () => {
    const fleet = await createFleet({hosts: 8, domains: 4}, 1);
    fleet.store.put('endpoints', 'i-1', 'one');
    await fleet.clock.run(LONG_MS);
    const before = fleet.pulls;
    for (let round = 0; round < 5; round++) {
      fleet.store.put('endpoints', 'i-1', 'one');
      await fleet.clock.run(3000);
      fleet.store.put('endpoints', 'i-2', `${round}`);
      await fleet.clock.run(3000);
    }
    fleet.stop();
    assert.equal(fleet.pulls, before);
  });
});

/*
 * Readers whose answers came close together left 1.4 s in which nobody vouched
 * for the copies, and up to 13 hosts asked the store out of turn each 2.1 s.
 */
describe('hosts at rest', () => {
  const REST_MS = 30_000;
  /** Two tables each 0.7 s and one each 5 s, and a tenth more. */
  const MOST_CALLS = (2 / 700 + 1 / 5000) * REST_MS * 1.1;
  for (const size of SIZES) {
    it(`make the calls of three readers only, ${size.hosts} of them`, async () => {
      const fleet = await createFleet(size, 1);
      await fleet.clock.run(LONG_MS);
      const before = countCalls(fleet);
      await fleet.clock.run(REST_MS);
      const calls = countCalls(fleet) - before;
      fleet.stop();
      assert.ok(calls <= MOST_CALLS, `${calls} calls`);
    });
  }
});

function countCalls(fleet: TableFleet): number {
  let calls = 0;
  for (const {storeClient: door} of fleet.hosts) calls += door.calls;
  return calls;
}
