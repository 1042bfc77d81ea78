/**
 * Keeps the origins of streams and exchanges them with other hosts. A host that
 * runs a stream reports its origin before the first event reaches the caller,
 * once more with the next heartbeat as datagrams get lost, and again when a
 * host that keeps it is lost. No answer is waited for.
 */
import {
  chooseOriginHolders,
  listMatchingOrigins,
  ORIGIN_HOLDERS,
  ORIGIN_RESPONDERS,
  OriginTable,
  type OriginHost,
  type OriginKey,
  type OriginRecord,
} from '@irisdock/decisions';
import {getShuffled, type Clock, type Random} from '@irisdock/kernel';
import type {
  OriginRequestDatagram,
  OriginResponseDatagram,
  OriginsDatagram,
} from '../model/origin_datagram.js';
import type {OriginLookup, StreamOrigins} from '../serving/origin_lookup.js';
import type {OriginDatagramHandler} from './datagram_handlers.js';
import type {StoredOrigins} from './origin_reader.js';
import type {OriginStore} from './origin_store.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';

/** The maximum number of origins in a datagram, to fit an Ethernet frame. */
const MAX_ORIGINS_PER_DATAGRAM = 8;
/** The time between two removals of old records, in ms. */
const SWEEP_INTERVAL_MS = 5000;
/** The maximum number of hosts that are asked at random. */
const MAX_RANDOM_HOSTS = 64;

/** Dependencies of the client. */
export interface StreamOriginClientParts {
  readonly ownName: string;
  readonly store: Pick<OriginStore, 'find' | 'save' | 'startHeartbeat'>;
  readonly peers: Pick<Peers, 'listAlive' | 'recordsHash' | 'sendToNames'> &
    Partial<Pick<Peers, 'position'>>;
  readonly clock: Clock;
  readonly random: Random;
}

/** An origin that this host reports. */
interface PublishedOrigin {
  readonly record: OriginRecord;
  readonly expiresAt: number;
  /** The incarnations of the hosts that it was reported to, by name. */
  readonly holders: Map<string, number>;
  isRepeated: boolean;
  isEnded: boolean;
}

/** The names of the hosts that one lookup asked, and of those that answered. */
interface AskedHosts {
  readonly asked: Set<string>;
  readonly answered: Set<string>;
}

/** Another host that is alive. */
interface LiveHost extends OriginHost {
  readonly incarnation: number;
}

/** Keeps, reports and looks up origins. */
export class StreamOriginClient
  implements StreamOrigins, OriginDatagramHandler
{
  private readonly table = new OriginTable();
  private readonly published = new Set<PublishedOrigin>();
  private readonly requests: PeerRequests<
    OriginRequestDatagram,
    OriginResponseDatagram
  >;
  private recordsHash: number | undefined;
  private sweptAt = 0;

  constructor(private readonly parts: StreamOriginClientParts) {
    const {clock, peers} = parts;
    this.requests = new PeerRequests(clock, (to, request) => {
      peers.sendToNames([to], request);
    });
  }

  /** The number of streams whose origins this host keeps. */
  get size(): number {
    return this.table.size;
  }

  publish(record: OriginRecord): () => void {
    const now = this.parts.clock.getNow();
    this.table.add(record, now);
    const published: PublishedOrigin = {
      record,
      expiresAt: now + record.remainingMs,
      holders: new Map(),
      isRepeated: false,
      isEnded: false,
    };
    this.published.add(published);
    const names = this.addHolders(published, this.listHosts());
    this.sendOrigins(names, [record]);
    this.parts.store.save(record);
    return () => {
      published.isEnded = true;
    };
  }

  async find(key: OriginKey, isThorough: boolean): Promise<OriginLookup> {
    const hosts: AskedHosts = {asked: new Set(), answered: new Set()};
    const isAtHolders = key.streamId !== undefined || !isThorough;
    const kept = isAtHolders ? await this.findAtHolders(key, hosts) : [];
    const isFound = kept.length > 0 || !isThorough;
    const records = isFound ? kept : await this.findAtRandom(key, hosts);
    return {
      records,
      hostsAsked: hosts.asked.size,
      hostsAnswered: hosts.answered.size,
    };
  }

  async findStored(key: OriginKey): Promise<StoredOrigins> {
    return this.parts.store.find(key);
  }

  /** Repeats new reports, replaces lost holders, and drops old records. */
  startHeartbeat(): void {
    const {peers, clock, store} = this.parts;
    store.startHeartbeat();
    const now = clock.getNow();
    if (now - this.sweptAt >= SWEEP_INTERVAL_MS) {
      this.sweptAt = now;
      this.table.dropExpired(now);
    }
    const hasChanged = peers.recordsHash !== this.recordsHash;
    this.recordsHash = peers.recordsHash;
    if (this.published.size === 0) return;
    const hosts = this.listHosts();
    const incarnations = new Map(
      hosts.map(({name, incarnation}) => [name, incarnation]),
    );
    const reports = new Map<string, OriginRecord[]>();
    for (const published of this.published) {
      const names = new Set(
        published.isRepeated ? [] : published.holders.keys(),
      );
      if (hasChanged && dropLostHolders(published, incarnations)) {
        for (const name of this.addHolders(published, hosts)) names.add(name);
      }
      const remainingMs = published.expiresAt - now;
      for (const name of names) {
        const origins = reports.get(name) ?? [];
        origins.push({...published.record, remainingMs});
        reports.set(name, origins);
      }
      published.isRepeated = true;
      const isOver = published.isEnded || remainingMs <= 0;
      if (isOver) this.published.delete(published);
    }
    for (const [name, origins] of reports) this.sendOrigins([name], origins);
  }

  acceptOrigins({origins}: OriginsDatagram): void {
    const now = this.parts.clock.getNow();
    for (const origin of origins) this.table.add(origin, now);
  }

  acceptOriginRequest(request: OriginRequestDatagram): void {
    const {peers, clock} = this.parts;
    const {name, number} = request;
    const origins = this.table.list(request, clock.getNow());
    peers.sendToNames([name], {kind: 'origin-answer', number, origins});
  }

  acceptOriginAnswer(answer: OriginResponseDatagram): void {
    this.requests.accept(answer);
  }

  private async findAtHolders(
    key: OriginKey,
    asked: AskedHosts,
  ): Promise<readonly OriginRecord[]> {
    const hosts = this.listHosts();
    const names = chooseOriginHolders(
      key.streamId ?? key.content,
      hosts,
      ORIGIN_RESPONDERS,
      this.parts.peers.position,
    );
    return this.poll(names, key, asked);
  }

  private async findAtRandom(
    key: OriginKey,
    asked: AskedHosts,
  ): Promise<readonly OriginRecord[]> {
    const hosts = getShuffled(this.listHosts(), this.parts.random);
    const names = hosts.slice(0, MAX_RANDOM_HOSTS).map(({name}) => name);
    return this.poll(names, key, asked);
  }

  /** Adds the holders that are missing; returns their names. */
  private addHolders(
    {record, holders}: PublishedOrigin,
    hosts: readonly LiveHost[],
  ): readonly string[] {
    const chosen = chooseOriginHolders(
      record.streamId,
      hosts,
      ORIGIN_HOLDERS,
      this.parts.peers.position,
    );
    const added = chosen.filter((name) => !holders.has(name));
    for (const {name, incarnation} of hosts) {
      if (added.includes(name)) holders.set(name, incarnation);
    }
    return added;
  }

  private sendOrigins(
    names: readonly string[],
    origins: readonly OriginRecord[],
  ): void {
    for (let at = 0; at < origins.length; at += MAX_ORIGINS_PER_DATAGRAM) {
      const some = origins.slice(at, at + MAX_ORIGINS_PER_DATAGRAM);
      this.parts.peers.sendToNames(names, {kind: 'origins', origins: some});
    }
  }

  /** Asks this host and others until one of them knows the stream itself. */
  private async poll(
    names: readonly string[],
    key: OriginKey,
    {asked, answered}: AskedHosts,
  ): Promise<readonly OriginRecord[]> {
    const found = this.table.list(key, this.parts.clock.getNow());
    const isNamed = ({streamId}: OriginRecord): boolean =>
      streamId === key.streamId;
    if (found.some(isNamed)) return found;
    await new Promise<void>((resolve) => {
      const polls = names.map(async (name) => {
        asked.add(name);
        const answer = await this.requests.poll(name, (number) => ({
          kind: 'origin-ask',
          name: this.parts.ownName,
          number,
          ...key,
        }));
        if (answer !== undefined) answered.add(name);
        found.push(...(answer?.origins ?? []));
        if (found.some(isNamed)) resolve();
      });
      void Promise.all(polls).then(() => {
        resolve();
      });
    });
    return listMatchingOrigins(key, found);
  }

  private listHosts(): LiveHost[] {
    const hosts: LiveHost[] = [];
    for (const {record, place} of this.parts.peers.listAlive()) {
      const {name, incarnation} = record;
      if (name === this.parts.ownName) continue;
      hosts.push({name, incarnation, failureDomain: place.failureDomain});
    }
    return hosts;
  }
}

/** Removes holders that are lost or restarted; returns whether some are missing. */
function dropLostHolders(
  {holders}: PublishedOrigin,
  incarnations: ReadonlyMap<string, number>,
): boolean {
  for (const [name, incarnation] of holders) {
    if (incarnations.get(name) !== incarnation) holders.delete(name);
  }
  return holders.size < ORIGIN_HOLDERS;
}
