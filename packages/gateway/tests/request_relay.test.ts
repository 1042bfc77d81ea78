/**
 * Which host gets a relayed request while a share of all hosts is partitioned
 * from the endpoints as well.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HostPosition, RegionMap, type HostCapacity} from '@irisdock/decisions';
import {SeededRandom} from '@irisdock/kernel';
import type {HeaderCodec} from '../src/model/request_metadata.js';
import {
  MAX_RELAY_HOSTS,
  RequestRelay,
  type RelayHost,
} from '../src/serving/request_relay.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const HOSTS = 60;
const SERVICE = 'calls';
const SEEDS = 20;
const REGIONS = new RegionMap(
  new Map([
    ['domain', 'here'],
    ['elsewhere', 'there'],
  ]),
);
/** Requests of one host until it knows enough of the others. */
const FIRST_REQUESTS = 20;
const LATER_REQUESTS = 200;
/** The interval between requests of one host, in ms. */
const INTERVAL_MS = 50;

interface Fixture {
  readonly relay: RequestRelay;
  readonly clock: VirtualClock;
  /** Requests taken, by host. */
  readonly taken: Map<string, number>;
  readonly isAble: (host: RelayHost) => boolean;
}

function listNames(): string[] {
  return Array.from({length: HOSTS}, (_, index) => `host-${index}`);
}

function createFixture(
  seed: number,
  partitioned: number,
  nearHosts = HOSTS,
  getCapacity: (at: number) => HostCapacity | undefined = () => undefined,
): Fixture {
  const clock = new VirtualClock();
  const hosts = listNames().map((name, at) => ({
    name,
    address: '127.0.0.1:1',
    failureDomain: at < nearHosts ? 'domain' : 'elsewhere',
    capacity: getCapacity(at),
  }));
  const codec: Partial<HeaderCodec> = {reportPath: '/report'};
  const relay = new RequestRelay({
    codec: codec as HeaderCodec,
    peers: {
      name: 'own',
      listRelayHosts: () => hosts,
      position: new HostPosition('domain', REGIONS),
    },
    deployment: 'tag',
    clock,
    random: new SeededRandom(seed),
  });
  const able = new Set(hosts.slice(partitioned).map(({name}) => name));
  const isAble = ({name}: RelayHost): boolean => able.has(name);
  return {relay, clock, taken: new Map(), isAble};
}

/** Sends one request; returns the number of tries, or undefined if refused. */
function sendRequest({relay, taken, isAble}: Fixture): number | undefined {
  const tried = new Set<string>();
  while (tried.size < MAX_RELAY_HOSTS) {
    const host = relay.choose(SERVICE, tried);
    if (host === undefined) return undefined;
    assert.ok(!tried.has(host.name));
    tried.add(host.name);
    relay.recordResult(host, SERVICE, isAble(host));
    if (!isAble(host)) continue;
    taken.set(host.name, (taken.get(host.name) ?? 0) + 1);
    return tried.size;
  }
  return undefined;
}

async function countRefused(
  fixture: Fixture,
  requests: number,
): Promise<number> {
  let refused = 0;
  for (let sent = 0; sent < requests; sent++) {
    if (sendRequest(fixture) === undefined) refused++;
    await fixture.clock.run(INTERVAL_MS);
  }
  return refused;
}

describe('a relayed request', () => {
  for (const percent of [50, 90]) {
    // Guards against refusals while some host could still serve.
    it(`finds a host though ${percent} in 100 are partitioned`, async () => {
      for (let seed = 0; seed < SEEDS; seed++) {
        const fixture = createFixture(seed, (HOSTS * percent) / 100);
        await countRefused(fixture, FIRST_REQUESTS);
        assert.equal(await countRefused(fixture, LATER_REQUESTS), 0);
      }
    });
  }

  // Guards against bytes between regions, and against a region cut off whole.
  it('goes to another region only when the own one is cut off', async () => {
    const near = HOSTS / 2;
    const sound = createFixture(1, 0, near);
    await countRefused(sound, FIRST_REQUESTS);
    const names = [...sound.taken.keys()];
    assert.ok(names.every((name) => listNames().indexOf(name) < near));
    const cutOff = createFixture(1, near, near);
    assert.equal(await countRefused(cutOff, LATER_REQUESTS), 0);
  });

  it('is refused after a few tries when all hosts are partitioned', async () => {
    const fixture = createFixture(1, HOSTS);
    assert.equal(await countRefused(fixture, LATER_REQUESTS), LATER_REQUESTS);
  });

  // Guards against all partitioned hosts sending to the same one.
  it('goes to different hosts from different ones', async () => {
    const taken = new Map<string, number>();
    for (let seed = 0; seed < HOSTS; seed++) {
      const fixture = {...createFixture(seed, HOSTS / 2), taken};
      await countRefused(fixture, FIRST_REQUESTS);
    }
    const most = Math.max(...taken.values());
    const mean = (HOSTS * FIRST_REQUESTS) / (HOSTS / 2);
    assert.ok(most <= 4 * mean, `${most} of ${mean} in the mean`);
  });

  it('goes to a host that knew no route of another one', () => {
    const {relay} = createFixture(1, HOSTS - 1);
    const host = relay.choose(SERVICE, new Set());
    assert.ok(host);
    const others = new Set(listNames().filter((name) => name !== host.name));
    relay.recordDecline(host, SERVICE, 404);
    assert.equal(relay.choose(SERVICE, others)?.name, host.name);
    relay.recordDecline(host, SERVICE, 503);
    assert.equal(relay.choose(SERVICE, others), undefined);
  });

  it('tries a host again that was partitioned before', async () => {
    const able = new Set<string>();
    const fixture = {
      ...createFixture(1, HOSTS),
      isAble: ({name}: RelayHost) => able.has(name),
    };
    await countRefused(fixture, LATER_REQUESTS);
    for (let index = 0; index < HOSTS; index++) able.add(`host-${index}`);
    await fixture.clock.run(2000);
    assert.equal(await countRefused(fixture, FIRST_REQUESTS), 0);
  });

  // Guards against small hosts with as many relayed requests as large ones: of
  // two hosts drawn, the one with fewer got the next, whatever their sizes.
  it('goes to hosts by what they can carry while others are in flight', () => {
    const isLarge = (at: number): boolean => at < HOSTS / 6;
    const {relay} = createFixture(1, 0, HOSTS, (at) =>
      isLarge(at)
        ? {cores: 1.35, linkMbps: 140, memoryMb: 602}
        : {cores: 0.27, linkMbps: 140, memoryMb: 250},
    );
    const counts = {large: 0, small: 0};
    for (let sent = 0; sent < 20 * HOSTS; sent++) {
      const host = relay.choose(SERVICE, new Set());
      assert.ok(host);
      void relay.countSend(host, () => new Promise(() => undefined));
      const at = listNames().indexOf(host.name);
      counts[isLarge(at) ? 'large' : 'small']++;
    }
    // By the weights, a tenth of the hosts' cores are in each of ten large.
    const ratio = (5 * counts.large) / counts.small;
    assert.ok(ratio > 4 && ratio < 6, `${ratio} times as many`);
  });
});
