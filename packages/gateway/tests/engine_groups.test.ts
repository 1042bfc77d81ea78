/** Which hosts receive messages for a group, all groups, or an engine. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  HostPosition,
  HostView,
  RegionMap,
  SINGLE_REGION,
  type EngineLocation,
  type HostCapacity,
} from '@irisdock/decisions';
import {EngineGroups, type PeerLocation} from '@irisdock/gateway';
import {SeededRandom} from '@irisdock/kernel';

const DOMAINS = 6;
const TIMES = {lostAfterMs: 3000, forgetAfterMs: 60_000};

type GetCapacity = (at: number) => HostCapacity | undefined;

function createPlace(at: number, capacity?: HostCapacity): PeerLocation {
  return {
    capacity,
    failureDomain: `domain-${at % DOMAINS}`,
    datagrams: `10.0.0.1:${at}`,
    tables: `10.0.0.2:${at}`,
    callers: `10.0.0.3:${at}`,
  };
}

function createView(
  hosts: number,
  getCapacity: GetCapacity,
): HostView<PeerLocation> {
  const createRecord = (at: number) =>
    ({
      name: `host-${at}`,
      incarnation: 1,
      version: 1,
      state: 'ready',
      isStoreAway: false,
    }) as const;
  const view = new HostView(
    createRecord(0),
    createPlace(0),
    TIMES,
    ({name}) => name.length,
  );
  for (let at = 1; at < hosts; at++) {
    const record = createRecord(at);
    const place = createPlace(at, getCapacity(at));
    view.accept({record, isSuspected: false, place}, 0);
  }
  return view;
}

/** Two domains in each of three regions. */
const REGIONS = new RegionMap(
  new Map([0, 1, 2, 3, 4, 5].map((at) => [`domain-${at}`, `r${at % 3}`])),
);

function createGroups(
  hosts: number,
  engines: number,
  regions = SINGLE_REGION,
  getCapacity: GetCapacity = () => undefined,
): EngineGroups {
  const view = createView(hosts, getCapacity);
  const random = new SeededRandom(4);
  const place = createPlace(0);
  const position = new HostPosition(place.failureDomain, regions);
  const groups = new EngineGroups('host-0', place, view, random, position);
  const housed: EngineLocation[] = [];
  for (let at = 0; at < engines; at++) {
    const failureDomain = `domain-${at % DOMAINS}`;
    housed.push({instanceId: `i-${at}`, failureDomain});
  }
  groups.engines = {version: 1, listEngines: () => housed};
  return groups;
}

describe('the groups of a host', () => {
  it('let a change reach each group with few datagrams', () => {
    const groups = createGroups(195, 0);
    const groupHosts = groups.listGroup();
    const relays = groups.listRelays();
    assert.ok(groupHosts.length <= 7);
    const datagrams = groupHosts.length + relays.length;
    assert.ok(datagrams <= 60, `${datagrams}`);
    const crossDomainDatagrams = relays.filter(
      ({place}) => place.failureDomain !== 'domain-0',
    ).length;
    assert.ok(crossDomainDatagrams <= 45, `${crossDomainDatagrams}`);
    const domains = new Set(relays.map(({place}) => place.failureDomain));
    assert.equal(domains.size, DOMAINS);
    assert.equal(new Set(relays).size, relays.length);
  });

  it('need few datagrams to other regions', () => {
    const groups = createGroups(72, 0, REGIONS);
    const domains = new Set(
      groups.listRelays().map(({place}) => place.failureDomain),
    );
    assert.deepEqual([...domains].sort(), ['domain-0', 'domain-3']);
    const regions = groups
      .listRegionRelays()
      .map(({place}) => REGIONS.find(place.failureDomain))
      .sort();
    assert.deepEqual(regions, ['r1', 'r1', 'r2', 'r2']);
    assert.deepEqual(createGroups(72, 0).listRegionRelays(), []);
    assert.equal(createGroups(72, 0).listRelays().length, 22);
  });

  // Guards against small hosts that pass on as many changes as large ones.
  it('are reached through the hosts that can carry most', () => {
    const createCapacity = (at: number): HostCapacity => ({
      cores: at < 2 * DOMAINS ? 1.35 : 0.27,
      linkMbps: 140,
      memoryMb: 602,
    });
    const groups = createGroups(72, 0, SINGLE_REGION, createCapacity);
    let large = 0;
    let all = 0;
    for (let change = 0; change < 100; change++) {
      for (const {record} of groups.listRelays()) {
        if (Number(record.name.slice('host-'.length)) < 2 * DOMAINS) large++;
        all++;
      }
    }
    // A sixth of the hosts have half of the cores.
    assert.ok(large > 0.4 * all && large < 0.6 * all, `${large} of ${all}`);
  });

  it('contain all hosts if there are few', () => {
    const groups = createGroups(9, 4);
    assert.equal(groups.listGroup().length, 8);
    assert.deepEqual(groups.listRelays(), []);
    assert.ok(groups.isHome('i-3'));
  });

  // Guards against reports on each stream that cross regions, which the single
  // group of a small deployment sent.
  it('are those of a region if there are few hosts in several', () => {
    const groups = createGroups(12, 6, REGIONS);
    const names = groups.listGroup().map(({record}) => record.name);
    assert.deepEqual(names, ['host-6', 'host-3', 'host-9']);
    assert.deepEqual(groups.listRelays(), []);
    assert.ok(groups.isHome('i-0') && groups.isHome('i-3'));
    const homes = groups.listHomeHosts('i-4').map(({place}) => place);
    const domains = homes.map(({failureDomain}) => failureDomain);
    const expected = ['domain-1', 'domain-1', 'domain-4', 'domain-4'];
    assert.deepEqual(domains, expected);
    // A change reaches each other region through two of its domains.
    const relays = groups
      .listRegionRelays()
      .map(({place}) => place.failureDomain);
    assert.deepEqual(relays.sort(), [
      'domain-1',
      'domain-2',
      'domain-4',
      'domain-5',
    ]);
  });

  it('know the home hosts of each engine', () => {
    const groups = createGroups(195, 174);
    const homes = new Set<string>();
    for (let at = 0; at < 174; at++) {
      const hosts = groups.listHomeHosts(`i-${at}`);
      assert.ok(hosts.length >= 1);
      for (const {record, place} of hosts) {
        assert.equal(place.failureDomain, `domain-${at % DOMAINS}`);
        homes.add(record.name);
      }
    }
    assert.equal(homes.size, 194);
  });
});
