/**
 * Host lists and first tables come from hosts of the own region where any has
 * them, and from other regions where none does.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostPosition, RegionMap, type KnownHost} from '@irisdock/decisions';
import type {PeerLocation} from '../src/model/peer_message.js';
import {RecordDifferences} from '../src/services/record_differences.js';
import {TableFleet, type FleetHost} from './fixtures/table_fleet.js';

const MESSAGES_UNTIL_LOAD = 8;
const OWN_HASH = 1;
const OTHER_HASH = 2;
const SETTLE_MS = 6000;
const START_MS = 3000;

function createHost(
  name: string,
  failureDomain: string,
): KnownHost<PeerLocation> {
  return {
    record: {
      name,
      incarnation: 1,
      version: 1,
      state: 'ready',
      isStoreAway: false,
    },
    place: {failureDomain, datagrams: name, tables: name, callers: name},
    standing: 'alive',
  };
}

const NEAR = createHost('near', 'a-2');
const FAR = createHost('far', 'b-1');
const REGIONS = new RegionMap(
  new Map([
    ['a-1', 'a'],
    ['a-2', 'a'],
    ['b-1', 'b'],
  ]),
);

/** Passes messages, each as `[sender, its hash]`; returns the last outcome. */
function acceptMessages(
  differences: RecordDifferences,
  alive: readonly KnownHost<PeerLocation>[],
  messages: readonly (readonly [KnownHost<PeerLocation>, number])[],
): string | undefined {
  let source: string | undefined;
  for (const [sender, recordsHash] of messages) {
    const message = {sender, recordsHash, ownRecordsHash: OWN_HASH};
    source = differences.accept(message, () => alive);
  }
  return source;
}

function createDifferences(): RecordDifferences {
  return new RecordDifferences(new HostPosition('a-1', REGIONS));
}

const DIFFERING = Array.from(
  {length: MESSAGES_UNTIL_LOAD},
  () => [FAR, OTHER_HASH] as const,
);

describe('the source of a host list', () => {
  it('is a host of the region that had the records of a host elsewhere', () => {
    const messages = [[NEAR, OTHER_HASH] as const, ...DIFFERING];
    const source = acceptMessages(createDifferences(), [NEAR, FAR], messages);
    assert.equal(source, 'near');
  });

  // Guards against regions that stay apart: messages of the region, which all
  // have the same records, must not end the count of those from elsewhere.
  it('is a host elsewhere where the region agrees on other records', () => {
    const messages = DIFFERING.flatMap((message) => [
      [NEAR, OWN_HASH] as const,
      message,
    ]);
    const source = acceptMessages(createDifferences(), [NEAR, FAR], messages);
    assert.equal(source, 'far');
  });

  it('is a host elsewhere where none of the region is alive', () => {
    const messages = [[NEAR, OTHER_HASH + 1] as const, ...DIFFERING];
    assert.equal(acceptMessages(createDifferences(), [FAR], messages), 'far');
  });

  it('is not chosen while the region itself does not agree', () => {
    const messages = [[NEAR, OTHER_HASH + 1] as const, ...DIFFERING];
    const source = acceptMessages(createDifferences(), [NEAR, FAR], messages);
    assert.equal(source, undefined);
  });
});

async function createFleet(): Promise<TableFleet> {
  const fleet = new TableFleet({hosts: 24, domains: 6, regions: 3, seed: 1});
  await fleet.start(SETTLE_MS);
  return fleet;
}

function splitHosts(fleet: TableFleet): {
  host: FleetHost;
  near: FleetHost[];
  far: FleetHost[];
} {
  const host = fleet.hosts.at(-1);
  assert.ok(host !== undefined);
  const others = fleet.hosts.slice(0, -1);
  const near = others.filter((other) => !fleet.isFar(other, host));
  const far = others.filter((other) => fleet.isFar(other, host));
  return {host, near, far};
}

async function runRestart(
  fleet: TableFleet,
  host: FleetHost,
  seeds: readonly FleetHost[],
): Promise<void> {
  host.kill();
  void host.start(seeds.map(({name}) => name));
  await fleet.clock.run(START_MS);
  assert.ok(host.version > 0);
}

describe('a host that starts', () => {
  it('loads all from its region though its seeds are elsewhere', async () => {
    const fleet = await createFleet();
    const {host, far} = splitHosts(fleet);
    const before = {...fleet.lists};
    await runRestart(fleet, host, far.slice(0, 3));
    fleet.stop();
    assert.equal(fleet.lists.far, before.far);
    assert.ok(fleet.lists.near > before.near);
  });

  it('loads all from a seed elsewhere when its region does not respond', async () => {
    const fleet = await createFleet();
    const {host, near, far} = splitHosts(fleet);
    const before = {...fleet.lists};
    for (const other of near) other.kill('unreachable');
    await runRestart(fleet, host, far.slice(0, 3));
    fleet.stop();
    assert.ok(fleet.lists.far > before.far);
  });
});
