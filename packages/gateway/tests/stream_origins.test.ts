/** Origins of streams across several hosts, some of which are lost. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseOriginHolders,
  ORIGIN_HOLDERS,
  type OriginKey,
  type OriginRecord,
} from '@irisdock/decisions';
import {SeededRandom} from '@irisdock/kernel';
import type {PeerDatagram} from '../src/model/peer_message.js';
import type {AliveHost} from '../src/services/host_tracker.js';
import {StreamOriginClient} from '../src/services/stream_origin_client.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const DOMAINS = ['zone-a', 'zone-b', 'zone-c'];
const DATAGRAM_LATENCY_MS = 2;
const HEARTBEAT_MS = 300;
const KEPT_MS = 20_000;
const STREAM_ID = 'stream-1';
const CONTENT = 'a'.repeat(32);
const KEY: OriginKey = {streamId: STREAM_ID, content: CONTENT};
const RECORD: OriginRecord = {
  streamId: STREAM_ID,
  content: CONTENT,
  service: 'engines',
  instanceId: 'i-1',
  version: 'v1',
  remainingMs: KEPT_MS,
};

interface FleetHost extends AliveHost {
  readonly client: StreamOriginClient;
}

/** Hosts that exchange origins in simulated time. */
class OriginFleet {
  readonly clock = new VirtualClock();
  /** Hosts that run, by name. */
  readonly hosts = new Map<string, FleetHost>();
  /** Hosts that every host considers alive. */
  private alive: AliveHost[] = [];
  private recordsHash = 0;
  private readonly random: SeededRandom;

  constructor(
    count: number,
    private readonly lossPercent = 0,
    seed = 1,
  ) {
    this.random = new SeededRandom(seed);
    for (let index = 0; index < count; index++) this.add(index, 1);
  }

  /** Starts a host, or starts a lost one again. */
  add(index: number, incarnation: number): void {
    const name = `host-${index}`;
    const host = {
      record: {
        name,
        incarnation,
        version: 1,
        state: 'ready',
        isStoreAway: false,
      },
      place: {
        failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
        datagrams: '',
        tables: '',
        callers: '',
      },
    } as const;
    const client = this.createClient(name);
    this.hosts.set(name, {...host, client});
    this.alive = this.alive.filter(({record}) => record.name !== name);
    this.alive.push(host);
    this.recordsHash++;
  }

  /** Stops a host at once; `isKnown` tells whether the others know of it. */
  kill(name: string, isKnown: boolean): void {
    this.hosts.delete(name);
    if (!isKnown) return;
    this.alive = this.alive.filter(({record}) => record.name !== name);
    this.recordsHash++;
  }

  getClient(name: string): StreamOriginClient {
    const host = this.hosts.get(name);
    if (host === undefined) throw new Error(`${name} does not run`);
    return host.client;
  }

  /** Lists the hosts that keep the origin, except the one that runs it. */
  listHolders(runner: string): string[] {
    const others = this.alive
      .filter(({record}) => record.name !== runner)
      .map(({record, place}) => ({
        name: record.name,
        failureDomain: place.failureDomain,
      }));
    return chooseOriginHolders(STREAM_ID, others, ORIGIN_HOLDERS);
  }

  /** Advances the time by heartbeats. */
  async runHeartbeats(count: number): Promise<void> {
    for (let beat = 0; beat < count; beat++) {
      await this.clock.run(HEARTBEAT_MS);
      for (const {client} of this.hosts.values()) client.startHeartbeat();
    }
    await this.clock.run(DATAGRAM_LATENCY_MS);
  }

  /** Looks the distinct versions of the stream up at a host. */
  async find(
    name: string,
    key = KEY,
    isThorough = false,
  ): Promise<{versions: readonly string[]; ms: number}> {
    const client = this.getClient(name);
    const startedAt = this.clock.getNow();
    let ms = -1;
    const timed = client.find(key, isThorough).then(({records}) => {
      ms = this.clock.getNow() - startedAt;
      return records;
    });
    await this.clock.run(HEARTBEAT_MS);
    const records = await timed;
    const versions = new Set(records.map(({version}) => version));
    return {versions: [...versions], ms};
  }

  private createClient(ownName: string): StreamOriginClient {
    const {clock} = this;
    const peers = {
      listAlive: () => [...this.alive],
      sendToNames: (names: readonly string[], datagram: PeerDatagram) => {
        for (const to of names) this.send(to, datagram);
      },
    };
    Object.defineProperty(peers, 'recordsHash', {get: () => this.recordsHash});
    return new StreamOriginClient({
      ownName,
      peers: peers as typeof peers & {readonly recordsHash: number},
      clock,
      store: {
        find: () => Promise.resolve({records: [], isRead: true, rows: 0}),
        save: () => undefined,
        startHeartbeat: () => undefined,
      },
      random: this.random,
    });
  }

  private send(to: string, datagram: PeerDatagram): void {
    if (this.random.getInt(100) < this.lossPercent) return;
    this.clock.plan(DATAGRAM_LATENCY_MS, () => {
      const client = this.hosts.get(to)?.client;
      if (datagram.kind === 'origins') client?.acceptOrigins(datagram);
      if (datagram.kind === 'origin-ask') client?.acceptOriginRequest(datagram);
      if (datagram.kind === 'origin-answer') {
        client?.acceptOriginAnswer(datagram);
      }
    });
  }
}

describe('the origin of a stream', () => {
  it('is known at any host within two latencies of the first event', async () => {
    const fleet = new OriginFleet(9);
    fleet.getClient('host-0').publish(RECORD);
    // What it has sent by now is on its way.
    fleet.kill('host-0', false);
    for (let index = 1; index < 9; index++) {
      const {versions, ms} = await fleet.find(`host-${index}`);
      assert.deepEqual(versions, ['v1']);
      assert.ok(ms <= 2 * DATAGRAM_LATENCY_MS, `${ms} ms`);
    }
  });

  it('is known though its host and all holders but one are lost', async () => {
    const fleet = new OriginFleet(9);
    fleet.getClient('host-0').publish(RECORD);
    await fleet.clock.run(DATAGRAM_LATENCY_MS);
    const [kept, ...lost] = fleet.listHolders('host-0');
    for (const name of ['host-0', ...lost]) fleet.kill(name, false);
    const asking = [...fleet.hosts.keys()].find((name) => name !== kept) ?? '';
    const {versions, ms} = await fleet.find(asking);
    assert.deepEqual(versions, ['v1']);
    assert.ok(ms <= 2 * DATAGRAM_LATENCY_MS, `${ms} ms`);
  });

  it('is reported again when its holders are lost one by one', async () => {
    const fleet = new OriginFleet(9);
    fleet.getClient('host-0').publish(RECORD);
    for (let index = 1; index < 9; index++) {
      fleet.kill(`host-${index}`, true);
      await fleet.runHeartbeats(1);
      fleet.add(index, 2);
      await fleet.runHeartbeats(1);
    }
    fleet.kill('host-0', true);
    const {versions} = await fleet.find('host-1');
    assert.deepEqual(versions, ['v1']);
  });

  it('is known by a second report where datagrams are lost', async () => {
    let found = 0;
    const plays = 200;
    for (let seed = 1; seed <= plays; seed++) {
      const fleet = new OriginFleet(9, 30, seed);
      fleet.getClient('host-0').publish(RECORD);
      await fleet.runHeartbeats(2);
      fleet.kill('host-0', true);
      const {versions} = await fleet.find('host-1');
      if (versions.length > 0) found++;
    }
    assert.equal(found, plays);
  });

  it('is found by content at any host if its attempt is not named', async () => {
    const fleet = new OriginFleet(9);
    fleet.getClient('host-0').publish(RECORD);
    await fleet.runHeartbeats(1);
    const key = {...KEY, streamId: undefined, remainingMs: KEPT_MS};
    const {versions} = await fleet.find('host-1', key, true);
    assert.deepEqual(versions, ['v1']);
  });

  it('is not taken for that of another stream of the same content', async () => {
    const fleet = new OriginFleet(9);
    const other = {...RECORD, streamId: 'stream-2', version: 'v2'};
    fleet.getClient('host-0').publish(RECORD);
    fleet.getClient('host-1').publish(other);
    const startedAt = fleet.clock.getNow();
    await fleet.runHeartbeats(1);
    for (let index = 2; index < 9; index++) {
      const remainingMs = KEPT_MS - (fleet.clock.getNow() - startedAt);
      const key = {...KEY, streamId: undefined, remainingMs};
      const {versions} = await fleet.find(`host-${index}`, key, true);
      assert.deepEqual([...versions].sort(), ['v1', 'v2']);
    }
  });

  it('is not known once the time of its caller is over', async () => {
    const fleet = new OriginFleet(9);
    fleet.getClient('host-0').publish(RECORD);
    await fleet.clock.run(KEPT_MS);
    assert.deepEqual((await fleet.find('host-1')).versions, []);
  });

  it('is looked up in bounded time though no host answers', async () => {
    const fleet = new OriginFleet(9);
    for (let index = 0; index < 8; index++) fleet.kill(`host-${index}`, false);
    const {versions, ms} = await fleet.find('host-8');
    assert.deepEqual(versions, []);
    assert.ok(ms >= 0 && ms <= 100, `${ms} ms`);
  });
});
