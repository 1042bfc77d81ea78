/**
 * The other hosts, and what hosts tell each other by datagrams: that they are
 * there (`host_tracker.ts`), changes of the tables (`news_spreader.ts`), and
 * what they have running (`use_notices.ts`, `use_questions.ts`).
 */
import type {KnownHost} from '@irisdock/decisions';
import {getShuffled} from '@irisdock/kernel';
import type {
  DatagramPort,
  DatagramPortFactory,
} from '../channels/datagram_socket.js';
import {FramedPort} from '../channels/framed_port.js';
import {decodePeerDatagram, encodePeerDatagram} from '../model/peer_codec.js';
import type {DropReason} from '../model/peer_frame.js';
import type {PeerDatagram, PeerLocation} from '../model/peer_message.js';
import {FreshnessChecker} from '../tables/freshness_checker.js';
import {EngineGroups} from './engine_groups.js';
import {
  HostTracker,
  type AliveHost,
  type HostTrackerParts,
  type PeerState,
} from './host_tracker.js';
import {DatagramHandlers} from './datagram_handlers.js';
import {UpdateBroadcaster} from '../tables/update_broadcaster.js';
import type {HostSummary} from './host_summaries.js';
import {SeedSchedule} from './seed_schedule.js';
import type {StoreStatus} from '../tables/store_status.js';
import {
  UsePublisher,
  type SendToHosts,
  type UseRegistry,
} from './use_publisher.js';
import {UseQueries} from './use_queries.js';

/** What the peers need of the rest. */
export interface PeersParts extends Omit<HostTrackerParts, 'hasSeeds'> {
  /** Where the socket for datagrams is bound, as `ip:port`. */
  readonly listen: string;
  readonly seeds: readonly string[];
  /** The name of the deployment. */
  readonly deployment: string;
  readonly openDatagrams: DatagramPortFactory;
  /** Counts a datagram that was dropped. */
  readonly recordDrop: (reason: DropReason) => void;
}

/**
 * How long a seed may take to give its tables before the next one is asked, and
 * after the last the store, in ms. One that runs takes a few; one that does not
 * refuses at once, unless its machine is gone.
 */
const SEED_MS = 50;

/** Readers of the store that are told of roll-outs; the first may be lost. */
const TOLD_READERS = 2;

/** The other hosts. */
export class Peers {
  readonly usePublisher: UsePublisher;
  readonly useQueries: UseQueries;
  readonly groups: EngineGroups;
  /** Who takes what other hosts say of roll-outs, crashes, limits and leases. */
  readonly handlers = new DatagramHandlers();
  private readonly tracker: HostTracker;
  private readonly socket: DatagramPort;
  private readonly news: UpdateBroadcaster;
  private readonly seeds: SeedSchedule;
  private readonly checks: FreshnessChecker;

  constructor(private readonly parts: PeersParts) {
    const {name, place, tables, random, log, clock} = parts;
    const send: SendToHosts = (hosts, datagram) => {
      this.sendTo(hosts, datagram);
    };
    const hasSeeds = parts.seeds.some((seed) => seed !== place.tables);
    this.tracker = new HostTracker({...parts, hasSeeds}, send);
    const {view} = this.tracker;
    this.groups = new EngineGroups(name, place, view, random);
    this.news = new UpdateBroadcaster({
      tables,
      loader: this.tracker.loader,
      targets: this.groups,
      isHost: (address) =>
        view.listKnown().some((host) => host.place.tables === address),
      source: place.tables,
      clock,
      send,
      log,
    });
    this.checks = new FreshnessChecker({
      ...parts,
      standing: this.standing,
      countHosts: () => view.countKnown() + 1,
      publish: (table, shown) => {
        this.news.publish(table, shown, false);
      },
    });
    this.usePublisher = new UsePublisher(parts, view, this.groups, send);
    this.useQueries = new UseQueries(
      name,
      view,
      this.groups,
      clock,
      random,
      send,
    );
    this.seeds = new SeedSchedule(random, parts.seeds);
    this.socket = new FramedPort(parts, (payload) => {
      this.handleDatagram(payload);
    });
  }

  /** Sets who knows whether this host takes callers. */
  set getState(getState: () => PeerState) {
    this.tracker.getState = getState;
  }

  /** Sets who knows what runs here. */
  set useRegistry(board: UseRegistry) {
    this.usePublisher.registry = board;
    this.useQueries.registry = board;
    this.groups.engines = board;
  }

  /** How this host and the others stand with the store. */
  get standing(): StoreStatus {
    return this.tracker.standing;
  }

  /** The name of this host. */
  get name(): string {
    return this.parts.name;
  }

  /** Where this host can be reached. */
  get place(): PeerLocation {
    return this.parts.place;
  }

  /** Starts to listen; resolves when the seeds were asked. */
  async start(): Promise<void> {
    await this.socket.start(this.parts.listen);
    this.news.start();
    await this.loadFromSeeds();
    this.checks.start();
  }

  /** Gives the number of hosts that serve, this one included. */
  countServing(): number {
    return this.tracker.view.listServing().length + 1;
  }

  /** Whether any other host was heard of late. */
  hasHeardAny(now: number): boolean {
    return this.tracker.hasHeardAny(now);
  }

  /** Lists where callers may be sent, this host among them if it takes them. */
  listServing(): PeerLocation[] {
    const places = this.tracker.view.listServing().map(({place}) => place);
    if (this.tracker.getState() === 'ready') places.push(this.place);
    return places;
  }

  /** Lists the hosts that are believed to be alive, this one first. */
  listAlive(): AliveHost[] {
    return this.tracker.listAlive();
  }

  /** Lists all hosts for operators, those with faults first. */
  listHostSummaries(now: number): HostSummary[] {
    return this.tracker.listHostSummaries(now);
  }

  /** Lists the names of the hosts that take or took requests, this one too. */
  listActiveNames(): string[] {
    return this.listNames((state) => state !== 'starting');
  }

  /** Lists the names of the hosts that take callers and stay, this one too. */
  listReadyNames(): string[] {
    return this.listNames((state) => state === 'ready');
  }

  /** Counts the hosts that may live and stay, also those not heard of late. */
  countPossiblyAlive(): number {
    let count = 1;
    for (const {record} of this.tracker.view.listKnown()) {
      if (record.state !== 'leaving') count++;
    }
    return count;
  }

  /** Differs whenever what is known of the hosts that are alive does. */
  get recordsHash(): number {
    return this.tracker.view.recordsHash;
  }

  /** Whether this host is the first of those that read the store. */
  get isFirstReader(): boolean {
    return this.standing.listReaders()[0] === this.parts.name;
  }

  /** Sends to all other hosts that are believed to be alive. */
  sendToAll(datagram: PeerDatagram): void {
    this.sendTo(this.tracker.view.listAlive(), datagram);
  }

  /** Sends to the hosts that read the store, but for this one. */
  sendToReaders(datagram: PeerDatagram): void {
    const readers = this.standing.listReaders().slice(0, TOLD_READERS);
    this.sendToNames(readers, datagram);
  }

  /** Sends to hosts by name, as far as they are known. */
  sendToNames(names: readonly string[], datagram: PeerDatagram): void {
    const hosts: KnownHost<PeerLocation>[] = [];
    for (const name of names) {
      const host = this.tracker.view.find(name);
      if (host !== undefined) hosts.push(host);
    }
    this.sendTo(hosts, datagram);
  }

  /** Asks a host of which this one was told elsewhere for all it knows. */
  async loadFrom(tables: string): Promise<void> {
    const isKnown = this.listAlive().some(({place}) => place.tables === tables);
    if (!isKnown) await this.tracker.loader.loadAll(tables);
  }

  /** Takes where some other hosts answer hosts; may be old. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds.setSeeds(seeds);
  }

  /** Does what is due in a beat. */
  runHeartbeat(): void {
    this.tracker.startHeartbeat(this.parts.clock.getNow());
    this.usePublisher.startHeartbeat();
    this.handlers.limits?.startHeartbeat();
    const known = this.listAlive().map(({place}) => place.tables);
    const seed = this.seeds.chooseNext(known);
    if (seed !== undefined) void this.tracker.loader.loadAll(seed);
  }

  /** Tells some other hosts at once how this one stands now. */
  publishState(): void {
    this.tracker.publishState();
  }

  close(): void {
    this.checks.close();
    this.usePublisher.close();
    this.news.close();
    this.socket.close();
    this.tracker.close();
  }

  /**
   * Asks the seeds for the tables before the store is read: where other hosts
   * run, a host that starts needs no call to the store.
   */
  private async loadFromSeeds(): Promise<void> {
    const {seeds, place, clock, random} = this.parts;
    const {loader, standing} = this.tracker;
    for (const seed of getShuffled(seeds, random)) {
      if (seed === place.tables) continue;
      await Promise.race([loader.loadAll(seed), clock.wait(SEED_MS)]);
      if (standing.hasTables) return;
    }
  }

  private listNames(isWanted: (state: PeerState) => boolean): string[] {
    const names: string[] = [];
    for (const {record} of this.listAlive()) {
      if (isWanted(record.state)) names.push(record.name);
    }
    return names;
  }

  private sendTo(
    hosts: readonly KnownHost<PeerLocation>[],
    datagram: PeerDatagram,
  ): void {
    if (hosts.length === 0) return;
    const bytes = encodePeerDatagram(datagram);
    for (const {place} of hosts) this.socket.send(bytes, place.datagrams);
  }

  private handleDatagram(payload: Uint8Array): void {
    const decoded = decodePeerDatagram(payload);
    if (decoded.isErr()) {
      const fault = decoded.error;
      this.parts.log.writeWarning('A datagram cannot be read.', {fault});
      return;
    }
    this.acceptDatagram(decoded.value);
  }

  private acceptDatagram(datagram: PeerDatagram): void {
    switch (datagram.kind) {
      case 'watch':
        this.tracker.accept(datagram);
        return;
      case 'news':
        this.news.accept(datagram);
        return;
      case 'uses':
        this.usePublisher.accept(datagram);
        return;
      case 'loss':
        this.usePublisher.acceptLoss(datagram);
        return;
      case 'question':
        this.useQueries.acceptQuery(datagram);
        return;
      case 'answer':
        this.useQueries.acceptAnswer(datagram);
        return;
      default:
        this.handlers.accept(datagram);
    }
  }
}
