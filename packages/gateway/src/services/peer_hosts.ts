/**
 * The other hosts: how this one keeps track of them, and what hosts tell each
 * other. Decisions are in `HostWatch`; here are the datagrams. A few hosts read
 * the store; what they read goes to all others at once (`news_spreader.ts`),
 * and who has missed it asks for it (`peer_table_loader.ts`).
 */
import {
  hashText,
  HostWatch,
  ReaderReports,
  type HostRecord,
  type KnownHost,
  type OutgoingWatch,
} from '@irisdock/decisions';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {DatagramSocket} from '../channels/datagram_socket.js';
import {
  decodePeerDatagram,
  encodePeerDatagram,
  type PeerDatagram,
  type PeerPlace,
  type WatchDatagram,
} from '../model/peer_message.js';
import {EngineGroups} from './engine_groups.js';
import {NewsSpreader} from './news_spreader.js';
import {PeerTableLoader} from './peer_table_loader.js';
import {SeedTries} from './seed_tries.js';
import {StoreStanding} from './store_standing.js';
import type {Tables} from './tables.js';
import {UseNotices, type SendToHosts, type UseBoard} from './use_notices.js';
import {UseQuestions} from './use_questions.js';

/** Whether a host takes callers. */
export type PeerState = HostRecord['state'];

/** What the peers need of the rest. */
export interface PeersParts {
  readonly name: string;
  readonly incarnation: number;
  /** Where others reach this host. */
  readonly place: PeerPlace;
  /** Where the socket for datagrams is bound, as `ip:port`. */
  readonly listen: string;
  /** The time between two beats, in ms. */
  readonly beatMs: number;
  readonly seeds: readonly string[];
  readonly tables: Tables;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * From the suspicion until a host counts as lost, and from then until it is
 * forgotten, in ms. Callers are sent to neither; both are asked now and then.
 */
const TIMES = {lostAfterMs: 3000, forgetAfterMs: 60_000};
/**
 * How long seeds may take to give their tables before the store is read, in ms;
 * one that runs takes a few, one that does not refuses at once.
 */
const SEEDS_MS = 150;
/** Fresh changes of hosts are gathered for so long, in ms. */
const FRESH_DELAY_MS = 20;
/**
 * Messages from hosts that know other records than this one, one after
 * another, after which a whole list is asked for: one host may be behind.
 */
const MAX_UNLIKE = 8;

/** The other hosts. */
export class Peers {
  /** Whether this host takes callers; set by the service that knows. */
  getState: () => PeerState = () => 'starting';
  readonly standing: StoreStanding;
  readonly uses: UseNotices;
  readonly questions: UseQuestions;
  readonly groups: EngineGroups;
  private readonly watch: HostWatch<PeerPlace>;
  private readonly reports = new ReaderReports();
  private readonly socket: DatagramSocket;
  private readonly loader: PeerTableLoader;
  private readonly news: NewsSpreader;
  private readonly seeds: SeedTries;
  private freshTimer: NodeJS.Timeout | undefined;
  /** Messages in a row whose sender knows other records. */
  private unlike = 0;

  constructor(private readonly parts: PeersParts) {
    const {name, incarnation, place, tables, random, log, clock} = parts;
    const record = {
      name,
      incarnation,
      version: 1,
      state: 'starting',
      isStoreAway: false,
    } as const;
    this.watch = new HostWatch(
      record,
      place,
      TIMES,
      parts.beatMs,
      random,
      hashRecord,
    );
    this.loader = new PeerTableLoader(tables, log, (changes) => {
      this.watch.acceptList(changes, clock.getNow());
      this.planFresh();
    });
    this.standing = new StoreStanding(
      () => this.watch.view,
      tables,
      this.reports,
    );
    const sendAll = (datagram: PeerDatagram): void => {
      this.sendTo(this.watch.view.listAlive(), datagram);
    };
    this.news = new NewsSpreader(tables, sendAll, log);
    const {view} = this.watch;
    const send: SendToHosts = (hosts, datagram) => {
      this.sendTo(hosts, datagram);
    };
    this.groups = new EngineGroups(name, place, view);
    this.uses = new UseNotices(parts, view, this.groups, send);
    this.questions = new UseQuestions(
      name,
      view,
      this.groups,
      clock,
      random,
      send,
    );
    this.seeds = new SeedTries(random, parts.seeds);
    this.socket = new DatagramSocket((bytes) => {
      this.handleDatagram(bytes);
    });
  }

  /** Sets who knows what runs here. */
  set useBoard(board: UseBoard) {
    this.uses.board = board;
    this.questions.board = board;
    this.groups.engines = board;
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await this.socket.start(this.parts.listen);
    this.news.start();
    await this.loadFromSeeds();
  }

  /** Where this host can be reached. */
  get place(): PeerPlace {
    return this.parts.place;
  }

  /** Gives the number of hosts that serve, this one included. */
  countServing(): number {
    return this.watch.view.listServing().length + 1;
  }

  /** Whether any other host was heard of late. */
  hasHeardAny(now: number): boolean {
    return this.watch.hasHeardAny(now);
  }

  /** Lists where callers may be sent, this host among them if it takes them. */
  listServing(): PeerPlace[] {
    const places = this.watch.view.listServing().map(({place}) => place);
    if (this.getState() === 'ready') places.push(this.parts.place);
    return places;
  }

  /** Lists the hosts that are believed to be alive, this one included. */
  listAlive(): {record: HostRecord; place: PeerPlace}[] {
    const {view} = this.watch;
    const others = view.listAlive().map(({record, place}) => ({record, place}));
    return [{record: view.ownRecord, place: this.parts.place}, ...others];
  }

  /** Asks a host of which this one was told elsewhere for all it knows. */
  async loadFrom(tables: string): Promise<void> {
    if (tables === this.parts.place.tables) return;
    const known = this.watch.view.listAlive();
    if (known.some(({place}) => place.tables === tables)) return;
    await this.loader.loadAll(tables);
  }

  /** Takes where some other hosts answer hosts; may be old. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds.setSeeds(seeds);
  }

  /** Does what is due in a beat. */
  sendBeat(): void {
    const {clock, log} = this.parts;
    const now = clock.getNow();
    this.updateOwn(now);
    this.standing.updateReading();
    this.sendWatch(this.watch.startBeat(now), now);
    for (const host of this.watch.view.dropLost(now)) {
      log.writeInfo('A host was silent for long.', {host});
    }
    this.planFresh();
    this.uses.startBeat();
    void this.loader.loadNewer(now);
    const alive = this.watch.view.listAlive();
    const heard = alive.map(({place}) => place.tables);
    const seed = this.seeds.chooseNext([this.parts.place.tables, ...heard]);
    if (seed !== undefined) void this.loader.loadAll(seed);
  }

  /** Tells some other hosts at once how this one stands now. */
  publishState(): void {
    const now = this.parts.clock.getNow();
    this.updateOwn(now);
    this.sendWatch(this.watch.startNotices(), now);
  }

  close(): void {
    clearTimeout(this.freshTimer);
    this.uses.close();
    this.news.close();
    this.socket.close();
    this.loader.close();
  }

  /**
   * Asks the seeds for the tables before the store is read: where other hosts
   * run, a host that starts needs no call to the store.
   */
  private async loadFromSeeds(): Promise<void> {
    const {seeds, place, clock} = this.parts;
    const others = seeds.filter((seed) => seed !== place.tables);
    if (others.length === 0) return;
    const enough = new AbortController();
    const loads = others.map(async (seed) => {
      await this.loader.loadAll(seed);
      if (this.standing.hasTables) enough.abort();
    });
    void Promise.all(loads).then(() => {
      enough.abort();
    });
    await clock.wait(SEEDS_MS, enough.signal);
  }

  private updateOwn(now: number): void {
    const isStoreAway = this.standing.isAway(now);
    this.watch.updateOwn({state: this.getState(), isStoreAway});
  }

  /** Tells of fresh changes in a moment. */
  private planFresh(): void {
    if (!this.watch.isFresh) return;
    this.freshTimer ??= setTimeout(() => {
      this.freshTimer = undefined;
      const now = this.parts.clock.getNow();
      this.sendWatch(this.watch.startNotices(), now);
    }, FRESH_DELAY_MS);
  }

  private sendWatch(sent: OutgoingWatch<PeerPlace>[], now: number): void {
    if (sent.length === 0) return;
    const revisions = this.loader.listRevisions();
    const own = this.standing.createReport(this.watch.view.ownRecord, now);
    if (own !== undefined) this.reports.accept(own, now);
    const reports = this.reports.list(now);
    for (const {to, message} of sent) {
      const datagram: WatchDatagram = {
        kind: 'watch',
        watch: message,
        revisions,
        reports,
      };
      this.sendTo([to], datagram);
    }
  }

  private sendTo(
    hosts: readonly KnownHost<PeerPlace>[],
    datagram: PeerDatagram,
  ): void {
    if (hosts.length === 0) return;
    const bytes = encodePeerDatagram(datagram);
    for (const {place} of hosts) this.socket.send(bytes, place.datagrams);
  }

  private handleDatagram(bytes: Buffer): void {
    const decoded = decodePeerDatagram(bytes);
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
        this.handleWatch(datagram);
        return;
      case 'news':
        this.news.accept(datagram);
        return;
      case 'uses':
        this.uses.accept(datagram);
        return;
      case 'loss':
        this.uses.acceptLoss(datagram);
        return;
      case 'question':
        this.questions.acceptQuestion(datagram);
        return;
      case 'answer':
        this.questions.acceptAnswer(datagram);
    }
  }

  private handleWatch({watch, revisions, reports}: WatchDatagram): void {
    const {name} = watch.sender;
    if (name === this.parts.name) return;
    const now = this.parts.clock.getNow();
    const sent = this.watch.accept(watch, now);
    for (const report of reports) {
      if (report.name !== this.parts.name) this.reports.accept(report, now);
    }
    this.sendWatch(sent, now);
    this.planFresh();
    const sender = this.watch.view.find(name);
    if (sender === undefined) return;
    this.loader.markRevisions(revisions, sender.place.tables, now);
    this.compareRecords(watch.recordsHash, sender.place.tables);
  }

  /** Asks for a whole list when others have long known other records. */
  private compareRecords(hash: number, tables: string): void {
    const isLike = hash === this.watch.view.recordsHash;
    this.unlike = isLike ? 0 : this.unlike + 1;
    if (this.unlike < MAX_UNLIKE || this.watch.isFresh) return;
    this.unlike = 0;
    void this.loader.loadAll(tables);
  }
}

function hashRecord({name, incarnation, version}: HostRecord): number {
  return hashText(`${name}/${incarnation}/${version}`);
}
