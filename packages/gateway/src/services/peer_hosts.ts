/**
 * The other hosts and the datagrams exchanged with them: liveness
 * (`host_tracker.ts`), changes of the tables (`update_broadcaster.ts`), what
 * runs on endpoints (`use_publisher.ts`, `use_queries.ts`), and the rest
 * through `datagram_handlers.ts`.
 */
import {
  computeHostShares,
  isTaskHost,
  type HostPosition,
  type KnownHost,
} from '@irisdock/decisions';
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
import type {RelayHost} from '../serving/request_relay.js';
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

/** Dependencies of the peers. */
export interface PeersParts extends Omit<HostTrackerParts, 'hasSeeds'> {
  /** The address that the datagram socket binds to, as `ip:port`. */
  readonly listen: string;
  readonly seeds: readonly string[];
  /** The name of the deployment. */
  readonly deployment: string;
  readonly openDatagrams: DatagramPortFactory;
  /** Counts a dropped datagram. */
  readonly recordDrop: (reason: DropReason) => void;
}

/**
 * How long a seed may take to send its tables before the next seed or, after
 * the last one, the store is asked, in ms. A running seed takes a few ms; a
 * stopped one refuses the connection at once unless its machine is gone.
 */
const SEED_TIMEOUT_MS = 50;

/** Store readers that get rollout reports; two, as the first may be lost. */
const REPORT_READERS = 2;

/** Exchanges datagrams with the other hosts and lists them. */
export class Peers {
  readonly usePublisher: UsePublisher;
  readonly useQueries: UseQueries;
  readonly groups: EngineGroups;
  /** The handlers of datagrams on rollouts, crashes, limits and the like. */
  readonly handlers = new DatagramHandlers();
  private readonly tracker: HostTracker;
  private readonly socket: DatagramPort;
  private readonly broadcaster: UpdateBroadcaster;
  private readonly seeds: SeedSchedule;
  private readonly freshnessChecker: FreshnessChecker;

  constructor(private readonly parts: PeersParts) {
    const {name, place, position, tables, random, log, clock} = parts;
    const send: SendToHosts = (hosts, datagram) => {
      this.sendTo(hosts, datagram);
    };
    const hasSeeds = parts.seeds.some((seed) => seed !== place.tables);
    this.tracker = new HostTracker({...parts, hasSeeds}, send);
    const {view} = this.tracker;
    this.groups = new EngineGroups(name, place, view, random, position);
    this.broadcaster = new UpdateBroadcaster({
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
    this.freshnessChecker = new FreshnessChecker({
      ...parts,
      standing: this.standing,
      countHosts: () => view.countKnown() + 1,
      publish: (table, update) => {
        this.broadcaster.publish(table, update, false);
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

  /** Sets how this host's state is read. */
  set getState(getState: () => PeerState) {
    this.tracker.getState = getState;
  }

  /** Sets how it is read whether calls of this host for tasks fail. */
  set isTaskExcluded(isTaskExcluded: () => boolean) {
    this.tracker.isTaskExcluded = isTaskExcluded;
  }

  /** Sets the registry of what runs on endpoints. */
  set useRegistry(registry: UseRegistry) {
    this.usePublisher.registry = registry;
    this.useQueries.registry = registry;
    this.groups.engines = registry;
  }

  /** Which hosts read the store, and whether it is reachable. */
  get standing(): StoreStatus {
    return this.tracker.standing;
  }

  /** The name of this host. */
  get name(): string {
    return this.parts.name;
  }

  /** The addresses and the failure domain of this host. */
  get place(): PeerLocation {
    return this.parts.place;
  }

  /** Where this host is among the regions. */
  get position(): HostPosition {
    return this.parts.position;
  }

  /** Starts to listen; resolves after the seeds were asked. */
  async start(): Promise<void> {
    await this.socket.start(this.parts.listen);
    this.broadcaster.start();
    await this.loadFromSeeds();
    this.freshnessChecker.start();
  }

  /** Counts the hosts that serve, including this one. */
  countServing(): number {
    return this.tracker.view.listServing().length + 1;
  }

  /**
   * Computes by how much this host divides what all hosts that serve share:
   * their number, or less for a host that carries more than others.
   */
  computeServingShares(): number {
    const others = this.tracker.view.listServing().map(({place}) => place);
    return computeHostShares(this.place, others);
  }

  /** Whether any other host was heard from recently. */
  hasHeardAny(now: number): boolean {
    return this.tracker.hasHeardAny(now);
  }

  /** Lists the hosts that serve callers, including this one if it is ready. */
  listServing(): PeerLocation[] {
    const places = this.tracker.view.listServing().map(({place}) => place);
    if (this.tracker.getState() === 'ready') places.push(this.place);
    return places;
  }

  /** Lists the other hosts that serve callers, with their addresses. */
  listRelayHosts(): RelayHost[] {
    return this.tracker.view.listServing().map(({record, place}) => ({
      name: record.name,
      address: place.tables,
      failureDomain: place.failureDomain,
      capacity: place.capacity,
    }));
  }

  /** Lists the hosts that are considered alive, this one first. */
  listAlive(): AliveHost[] {
    return this.tracker.listAlive();
  }

  /** Lists all known hosts for operators, those with faults first. */
  listHostSummaries(now: number): HostSummary[] {
    return this.tracker.listHostSummaries(now);
  }

  /** Lists the names of live hosts that are ready or leaving. */
  listActiveNames(): string[] {
    return this.listNames((state) => state !== 'starting');
  }

  /** Lists the names of live hosts that are ready, and not leaving. */
  listReadyNames(): string[] {
    return this.listNames((state) => state === 'ready');
  }

  /**
   * Lists the names of live hosts that may hold tasks: those that are ready,
   * reach the store, and whose calls for tasks do not fail.
   */
  listTaskHostNames(): string[] {
    const records = this.listAlive().map(({record}) => record);
    return records.filter(isTaskHost).map(({name}) => name);
  }

  /**
   * Counts the hosts that may be alive, including suspected ones and this one,
   * except those that are leaving.
   */
  countPossiblyAlive(): number {
    let count = 1;
    for (const {record} of this.tracker.view.listKnown()) {
      if (record.state !== 'leaving') count++;
    }
    return count;
  }

  /** Changes whenever the records of the live hosts do. */
  get recordsHash(): number {
    return this.tracker.view.recordsHash;
  }

  /** Whether this host is the first store reader. */
  get isFirstReader(): boolean {
    return this.standing.listReaders()[0] === this.parts.name;
  }

  /** Sends to all other hosts that are considered alive. */
  sendToAll(datagram: PeerDatagram): void {
    this.sendTo(this.tracker.view.listAlive(), datagram);
  }

  /** Sends to the first store readers, except this host. */
  sendToReaders(datagram: PeerDatagram): void {
    const readers = this.standing.listReaders().slice(0, REPORT_READERS);
    this.sendToNames(readers, datagram);
  }

  /** Sends to hosts by name; unknown hosts are skipped. */
  sendToNames(names: readonly string[], datagram: PeerDatagram): void {
    const hosts: KnownHost<PeerLocation>[] = [];
    for (const name of names) {
      const host = this.tracker.view.find(name);
      if (host !== undefined) hosts.push(host);
    }
    this.sendTo(hosts, datagram);
  }

  /** Loads all tables from a host unless that host is known already. */
  async loadFrom(tables: string): Promise<void> {
    const isKnown = this.listAlive().some(({place}) => place.tables === tables);
    if (!isKnown) await this.loadAll(tables);
  }

  /** Sets the addresses of some other hosts; they may be outdated. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds.setSeeds(seeds);
  }

  /** Does the work of one heartbeat. */
  runHeartbeat(): void {
    this.tracker.startHeartbeat(this.parts.clock.getNow());
    this.usePublisher.startHeartbeat();
    this.handlers.limits?.startHeartbeat();
    this.handlers.origins?.startHeartbeat();
    const known = this.listAlive().map(({place}) => place.tables);
    const seed = this.seeds.chooseNext(known);
    if (seed !== undefined) void this.loadAll(seed);
  }

  /** Sends this host's state to some other hosts at once. */
  publishState(): void {
    this.tracker.publishState();
  }

  close(): void {
    this.freshnessChecker.close();
    this.usePublisher.close();
    this.broadcaster.close();
    this.socket.close();
    this.tracker.close();
  }

  /**
   * Asks the seeds for the tables before the store is read, so a host that
   * starts beside running ones makes no call to the store.
   */
  private async loadFromSeeds(): Promise<void> {
    const {seeds, place, clock, random} = this.parts;
    for (const seed of getShuffled(seeds, random)) {
      if (seed === place.tables) continue;
      await Promise.race([this.loadAll(seed), clock.wait(SEED_TIMEOUT_MS)]);
      if (this.standing.hasTables) return;
    }
  }

  /**
   * Loads all tables and the list of hosts; the first time from a host of the
   * own region where there are several. Later the host at the address itself
   * is asked, as it may know hosts that the others of the region do not.
   */
  private async loadAll(address: string): Promise<void> {
    const {place, position} = this.parts;
    const {loader} = this.tracker;
    const isFirst = position.hasSeveralRegions && !this.standing.hasTables;
    await (isFirst
      ? loader.loadNearest(address, place)
      : loader.loadAll(address));
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
      this.parts.log.writeWarning('Failed to decode a datagram.', {fault});
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
        this.broadcaster.accept(datagram);
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
