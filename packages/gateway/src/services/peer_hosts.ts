/**
 * The other hosts as this one hears them. Each host tells others a few times a
 * second by datagrams that it is there, which changes it knows, how it stands
 * with the store, and what it has running. A few hosts read the store; what
 * they read goes to all others at once, and who has missed it asks for it.
 */
import {HeardHosts} from '@irisdock/decisions';
import {
  getShuffled,
  type Clock,
  type Logger,
  type Random,
} from '@irisdock/kernel';
import {DatagramSocket} from '../channels/datagram_socket.js';
import {
  decodePeerMessage,
  encodePeerMessage,
  type HostDigest,
  type PeerMessage,
  type PeerPlace,
  type PeerState,
  type TableNews,
} from '../model/peer_message.js';
import {
  decodeTableRows,
  encodeTableRows,
} from '../model/peer_tables_message.js';
import {FOLLOWED_TABLES, type FollowedTable} from '../model/watched_table.js';
import {ALL_UP_TO, PeerPlaces} from './peer_places.js';
import {PeerTableLoader} from './peer_table_loader.js';
import {StoreStanding} from './store_standing.js';
import type {StoreNews} from './table_follower.js';
import type {Tables} from './tables.js';

/** What this host has running, by the instance id of the endpoint. */
export type HostUses = PeerMessage['uses'];

/** Tells what runs here, and takes what runs elsewhere. */
export interface UseBoard {
  listOwnUses(): HostUses;
  applyUses(host: string, uses: HostUses): void;
}

/** What the peers need of the rest. */
interface PeersParts {
  /** Where others reach this host. */
  readonly place: PeerPlace;
  /** Where the socket for datagrams is bound, as `ip:port`. */
  readonly listen: string;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly tables: Tables;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Silence after which a host is left out of answers, in ms. */
const SILENT_AFTER_MS = 1300;
/** Silence after which a host is forgotten, in ms. */
const FORGET_AFTER_MS = 60_000;
/** Streams that are placed within this time are told of together, in ms. */
const USES_DELAY_MS = 10;
/** How many other hosts a datagram names. */
const MAX_NAMED = 6;
/**
 * How many digests of other hosts a datagram holds where not all hear all. With
 * 20 one pair in 250 of 72 hosts takes a live host for silent at any moment,
 * with 40 none does (decisions/tests/heartbeat_targets.test.ts).
 */
const MAX_DIGESTS = 40;
/** The largest datagram with news; larger ones may be cut on the way. */
const MAX_NEWS_BYTES = 1300;
/** Beats between two tries of a seed while nobody is heard. */
const SEED_EVERY = 5;
/** The most beats between two tries of seeds that do not answer. */
const MAX_SEED_PAUSE = 80;

/** The other hosts. */
export class Peers {
  /** Whether this host takes callers; set by the service that knows. */
  getState: () => PeerState = () => 'starting';
  /** Set by the service that knows what runs. */
  useBoard: UseBoard | undefined;
  readonly standing: StoreStanding;
  private readonly heard = new HeardHosts<PeerMessage>({
    silentAfterMs: SILENT_AFTER_MS,
    forgetAfterMs: FORGET_AFTER_MS,
  });
  private readonly socket: DatagramSocket;
  private readonly loader: PeerTableLoader;
  private readonly places: PeerPlaces;
  private sequence = 0;
  private seeds: readonly string[];
  /** The beat at which a seed that is not heard is tried next. */
  private nextSeedBeat = 1;
  private seedPause = SEED_EVERY;
  private soonTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PeersParts) {
    this.seeds = parts.seeds;
    const {place, tables, random, log} = parts;
    this.loader = new PeerTableLoader(tables, random, log);
    this.places = new PeerPlaces(place, this.heard, random);
    this.standing = new StoreStanding(place.name, tables, this.heard);
    this.socket = new DatagramSocket((bytes) => {
      this.handleDatagram(bytes);
    });
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await this.socket.start(this.parts.listen);
    for (const name of FOLLOWED_TABLES) {
      void this.parts.tables[name].storeNews.observe((news) => {
        this.sendNews(name, news);
      });
    }
  }

  /** Where this host can be reached. */
  get place(): PeerPlace {
    return this.parts.place;
  }

  /** Gives the number of hosts that serve, this one included. */
  countServing(): number {
    const now = this.parts.clock.getNow();
    return this.heard.listServing(now).length + 1;
  }

  /** Whether any other host was heard of late. */
  hasHeardAny(now: number): boolean {
    return this.heard.listHeard(now).length > 0;
  }

  /** Lists where callers may be sent, this host last if it takes them. */
  listCallerAddresses(): string[] {
    const serving = this.heard.listServing(this.parts.clock.getNow());
    const addresses = serving.map((message) => message.place.callers);
    if (this.getState() === 'ready') addresses.push(this.parts.place.callers);
    return addresses;
  }

  /** Takes the place of a host that was told of elsewhere. */
  addPlace(datagrams: string): void {
    this.places.add(datagrams);
  }

  /** Takes where some other hosts answer hosts; may be old. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.seedPause = SEED_EVERY;
    this.nextSeedBeat = this.sequence;
  }

  /** Tells the other hosts of this one. */
  sendBeat(): void {
    const now = this.parts.clock.getNow();
    this.standing.updateReading(now);
    const bytes = this.encodeNext(now);
    for (const place of this.places.listTargets(now, this.sequence)) {
      this.socket.send(bytes, place);
    }
    this.dropSilent(now);
    const heard = this.heard.listHeard(now);
    void this.loader.loadNewer(heard, now);
    this.trySeed(heard);
  }

  /**
   * Tells the other hosts at once that a stream was placed here. Until they
   * hear of it they take its engine for less busy than it is: with word in the
   * heartbeats alone, one stream in eight met another that a host had placed
   * within 0.7 s (some 180 placements by 6 hosts, counted from their logs).
   */
  sendUsesSoon(): void {
    this.soonTimer ??= setTimeout(() => {
      this.soonTimer = undefined;
      this.sendUses();
    }, USES_DELAY_MS);
  }

  close(): void {
    clearTimeout(this.soonTimer);
    this.socket.close();
    this.loader.close();
  }

  private sendUses(): void {
    const now = this.parts.clock.getNow();
    const bytes = this.encodeNext(now);
    for (const place of this.places.listHeardTargets(now)) {
      this.socket.send(bytes, place);
    }
  }

  /** Writes the next message without news. */
  private encodeNext(now: number): Buffer {
    this.sequence++;
    return encodePeerMessage(this.createMessage(now, []));
  }

  /** Sends what was just read from the store to all that are heard. */
  private sendNews(table: FollowedTable, news: StoreNews): void {
    const now = this.parts.clock.getNow();
    const {after, revision} = news;
    const rows = encodeTableRows(news.rows);
    this.sequence++;
    const message = this.createMessage(now, [{table, after, revision, rows}]);
    const whole = encodePeerMessage(message);
    // Who gets no rows sees the revision and asks for them.
    const bytes =
      whole.length <= MAX_NEWS_BYTES
        ? whole
        : encodePeerMessage(this.createMessage(now, []));
    for (const {place} of this.heard.listHeard(now)) {
      this.socket.send(bytes, place.datagrams);
    }
  }

  private createMessage(now: number, news: TableNews[]): PeerMessage {
    const {place, incarnation, tables, random} = this.parts;
    const heard = this.heard.listHeard(now);
    const named = getShuffled(heard, random).slice(0, MAX_NAMED);
    return {
      place,
      incarnation,
      sequence: this.sequence,
      state: this.getState(),
      revisions: {
        configuration: tables.configuration.replica.lastChange,
        endpoints: tables.endpoints.replica.lastChange,
      },
      store: this.standing.createMessage(now),
      news,
      digests: heard.length <= ALL_UP_TO ? [] : this.createDigests(heard),
      uses: news.length > 0 ? {} : (this.useBoard?.listOwnUses() ?? {}),
      heard: named.map((message) => message.place.datagrams),
    };
  }

  private createDigests(heard: readonly PeerMessage[]): HostDigest[] {
    const chosen = getShuffled(heard, this.parts.random);
    return chosen.slice(0, MAX_DIGESTS).map((message) => ({
      name: message.place.name,
      incarnation: message.incarnation,
      sequence: message.sequence,
      state: message.state,
      isStoreAway: message.store.isAway,
    }));
  }

  private handleDatagram(bytes: Buffer): void {
    const decoded = decodePeerMessage(bytes);
    if (decoded.isErr()) {
      const fault = decoded.error;
      this.parts.log.writeWarning('A datagram cannot be read.', {fault});
      return;
    }
    const message = decoded.value;
    const {place} = message;
    if (place.name === this.parts.place.name) return;
    const now = this.parts.clock.getNow();
    // News are taken also from a datagram that was overtaken.
    this.applyNews(message.news);
    if (!this.heard.accept(place.name, message, now)) return;
    this.places.drop(place.datagrams);
    if (message.news.length === 0) {
      this.useBoard?.applyUses(place.name, message.uses);
    }
    for (const named of message.heard) this.places.add(named);
    for (const digest of message.digests) this.applyDigest(digest, now);
  }

  private applyNews(news: readonly TableNews[]): void {
    for (const {table, after, revision, rows} of news) {
      const decoded = decodeTableRows(rows);
      this.parts.tables[table].applyNews(decoded, after, revision);
    }
  }

  /** Takes what another host knows of a third one that is known here. */
  private applyDigest(digest: HostDigest, now: number): void {
    const {name, incarnation, sequence, state, isStoreAway} = digest;
    const known = this.heard.find(name);
    if (known === undefined) return;
    const store = {...known.store, isAway: isStoreAway};
    const heartbeat = {...known, incarnation, sequence, state, store};
    this.heard.accept(name, heartbeat, now);
  }

  private dropSilent(now: number): void {
    for (const name of this.heard.dropSilent(now)) {
      this.parts.log.writeInfo('A host was silent for long.', {host: name});
    }
    const heard = new Set(
      this.heard.listHeard(now).map(({place}) => place.name),
    );
    for (const {place} of this.heard.listKnown()) {
      if (!heard.has(place.name)) this.useBoard?.applyUses(place.name, {});
    }
  }

  /**
   * Asks one seed that is not heard for what it knows, and for its place. That
   * some host is heard is not enough: hosts that start at the same time may
   * form groups that each hear only themselves.
   */
  private trySeed(heard: readonly PeerMessage[]): void {
    if (heard.length === 0) this.seedPause = SEED_EVERY;
    const places = [this.parts.place, ...heard.map(({place}) => place)];
    const known = new Set(places.map(({tables}) => tables));
    const unheard = this.seeds.filter((seed) => !known.has(seed));
    if (unheard.length === 0) return;
    const untilMost = this.sequence + this.seedPause;
    this.nextSeedBeat = Math.min(this.nextSeedBeat, untilMost);
    if (this.sequence < this.nextSeedBeat) return;
    this.nextSeedBeat = untilMost;
    this.seedPause = Math.min(MAX_SEED_PAUSE, this.seedPause * 2);
    const [seed] = getShuffled(unheard, this.parts.random);
    if (seed !== undefined) void this.loadFromSeed(seed);
  }

  private async loadFromSeed(seed: string): Promise<void> {
    const datagrams = await this.loader.loadFrom(seed);
    if (datagrams !== undefined) this.places.add(datagrams);
  }
}
