/**
 * Changes reach all hosts of several regions in time, with few bytes between
 * the regions, and each region goes on without links to the others.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TableFleet} from './fixtures/table_fleet.js';

const SIZE = {hosts: 72, domains: 6, regions: 3};
/** One domain of each region. */
const DOMAINS_GONE = new Set(['domain-1', 'domain-3', 'domain-5']);
const SETTLE_MS = 8000;
const CHANGES = 10;
const MAX_DELAY_MS = 2000;
const MAX_UNDISTURBED_DELAY_MS = 500;

interface Figures {
  readonly farBytes: number;
  readonly maxDelayMs: number;
}

async function writeChanges(fleet: TableFleet): Promise<Figures> {
  const bytesBefore = fleet.farBytes;
  const versions: number[] = [];
  for (let round = 0; round < CHANGES; round++) {
    versions.push(fleet.writeChange());
    await fleet.clock.run(1000 + fleet.random.getInt(300));
  }
  await fleet.clock.run(SETTLE_MS);
  const delays = fleet.hosts.flatMap((host) =>
    versions.map((version) => fleet.getDelayMs(host, version)),
  );
  return {
    farBytes: fleet.farBytes - bytesBefore,
    maxDelayMs: Math.max(...delays),
  };
}

async function measureChanges(isRegionAware: boolean): Promise<Figures> {
  const fleet = new TableFleet({...SIZE, seed: 1, isRegionAware});
  await fleet.start(SETTLE_MS);
  const figures = await writeChanges(fleet);
  fleet.stop();
  return figures;
}

describe('changes of a table in several regions', () => {
  it('arrive in time with a fraction of the bytes between regions', async () => {
    const aware = await measureChanges(true);
    const unaware = await measureChanges(false);
    assert.ok(aware.maxDelayMs <= MAX_UNDISTURBED_DELAY_MS);
    assert.ok(aware.farBytes < unaware.farBytes / 3);
  });

  it('arrive at once although a domain of each region has just gone', async () => {
    const fleet = new TableFleet({...SIZE, seed: 3});
    await fleet.start(SETTLE_MS);
    const readers = fleet.listReaders(fleet.hosts[0]);
    const gone = fleet.hosts.filter(
      (host) => DOMAINS_GONE.has(host.failureDomain) && !readers.includes(host),
    );
    for (const host of gone) host.kill('unreachable');
    const version = fleet.writeChange();
    await fleet.clock.run(SETTLE_MS);
    const delays = fleet.hosts
      .filter((host) => !gone.includes(host))
      .map((host) => fleet.getDelayMs(host, version));
    fleet.stop();
    const maxDelayMs = Math.max(...delays);
    assert.ok(maxDelayMs <= MAX_UNDISTURBED_DELAY_MS, `${maxDelayMs} ms`);
  });

  it('arrive in time in each region without links between them', async () => {
    const fleet = new TableFleet({...SIZE, seed: 2});
    await fleet.start(SETTLE_MS);
    const readers = fleet.listReaders(fleet.hosts[0]);
    const regions = readers.map(({failureDomain}) =>
      fleet.regions.find(failureDomain),
    );
    assert.equal(new Set(regions).size, SIZE.regions);
    fleet.isPartitioned = (one, other) => fleet.isFar(one, other);
    await fleet.clock.run(SETTLE_MS);
    const split = await writeChanges(fleet);
    assert.ok(split.maxDelayMs <= MAX_DELAY_MS, `${split.maxDelayMs}`);
    for (const {peers} of fleet.hosts) assert.equal(peers.countServing(), 24);
    fleet.isPartitioned = () => false;
    await fleet.clock.run(SETTLE_MS);
    for (const {peers} of fleet.hosts) assert.equal(peers.countServing(), 72);
    fleet.stop();
  });

  // Guards against regions of few hosts that have a single reader each: their
  // changes pass through relays as those of large ones do.
  it('arrive at once where few hosts form a group in each region', async () => {
    const fleet = new TableFleet({hosts: 12, domains: 6, regions: 3, seed: 4});
    await fleet.start(SETTLE_MS);
    const {maxDelayMs} = await writeChanges(fleet);
    fleet.stop();
    assert.ok(maxDelayMs <= MAX_UNDISTURBED_DELAY_MS, `${maxDelayMs} ms`);
  });
});
