/** Which hosts get what is for a group, for all groups, and for an engine. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostView, type EngineLocation} from '@irisdock/decisions';
import {EngineGroups, type PeerLocation} from '@irisdock/gateway';
import {SeededRandom} from '@irisdock/kernel';

const DOMAINS = 6;
const TIMES = {lostAfterMs: 3000, forgetAfterMs: 60_000};

function createPlace(at: number): PeerLocation {
  return {
    failureDomain: `domain-${at % DOMAINS}`,
    datagrams: `10.0.0.1:${at}`,
    tables: `10.0.0.2:${at}`,
    callers: `10.0.0.3:${at}`,
  };
}

function createView(hosts: number): HostView<PeerLocation> {
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
    view.accept({record, isSuspected: false, place: createPlace(at)}, 0);
  }
  return view;
}

function createGroups(hosts: number, engines: number): EngineGroups {
  const view = createView(hosts);
  const random = new SeededRandom(4);
  const groups = new EngineGroups('host-0', createPlace(0), view, random);
  const housed: EngineLocation[] = [];
  for (let at = 0; at < engines; at++) {
    const failureDomain = `domain-${at % DOMAINS}`;
    housed.push({instanceId: `i-${at}`, failureDomain});
  }
  groups.engines = {version: 1, listEngines: () => housed};
  return groups;
}

describe('the groups of a host', () => {
  it('let a change reach each group by few datagrams', () => {
    const groups = createGroups(195, 0);
    const near = groups.listGroup();
    const relays = groups.listRelays();
    assert.ok(near.length <= 7);
    const first = near.length + relays.length;
    assert.ok(first <= 60, `${first}`);
    const far = relays.filter(
      ({place}) => place.failureDomain !== 'domain-0',
    ).length;
    assert.ok(far <= 45, `${far}`);
    const domains = new Set(relays.map(({place}) => place.failureDomain));
    assert.equal(domains.size, DOMAINS);
    assert.equal(new Set(relays).size, relays.length);
  });

  it('are all hosts where hosts are few', () => {
    const groups = createGroups(9, 4);
    assert.equal(groups.listGroup().length, 8);
    assert.deepEqual(groups.listRelays(), []);
    assert.ok(groups.isHome('i-3'));
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
