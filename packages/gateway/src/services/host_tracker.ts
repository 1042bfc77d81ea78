/**
 * Keeps track of the other hosts: carries the messages of `HostWatch`, with
 * which changes of the tables a host knows and the reports of those that read
 * the store.
 */
import {
  hashText,
  FailureDetector,
  ReaderReports,
  SuspensionDetector,
  type HostRecord,
  type HostView,
  type OutgoingGossip,
} from '@irisdock/decisions';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import type {PeerTableSource} from '../tables/peer_table_source.js';
import type {PeerLocation, MembershipDatagram} from '../model/peer_message.js';
import {PeerTableLoader} from '../tables/peer_table_loader.js';
import {
  sortHostSummaries,
  type LastHeard,
  type HostSummary,
} from './host_summaries.js';
import {StoreStatus} from '../tables/store_status.js';
import type {Tables} from '../tables/tables.js';
import type {SendToHosts} from './use_publisher.js';

/** Whether a host takes callers. */
export type PeerState = HostRecord['state'];

/** A host that is believed to be alive. */
export interface AliveHost {
  readonly record: HostRecord;
  readonly place: PeerLocation;
}

/** What the tracker needs of the rest. */
export interface HostTrackerParts {
  readonly name: string;
  readonly incarnation: number;
  /** Where others reach this host. */
  readonly place: PeerLocation;
  /** The time between two beats, in ms. */
  readonly heartbeatMs: number;
  /** Whether other hosts may run that are not known yet. */
  readonly hasSeeds: boolean;
  readonly tables: Tables;
  readonly tableSource: PeerTableSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * From the suspicion until a host counts as lost, and from then until it is
 * forgotten, in ms. Callers are sent to neither; both are asked now and then.
 */
const TIMES = {lostAfterMs: 3000, forgetAfterMs: 60_000};
/** Fresh changes of hosts are gathered for so long, in ms. */
const FRESH_DELAY_MS = 20;
/**
 * The least time between two rounds of notices, in ms. It bounds what a host
 * sends while many hosts change at once: 38 notices a second in place of 150.
 */
const FRESH_EVERY_MS = 80;
/**
 * Messages from hosts that know other records than this one, one after
 * another, after which a whole list is asked for: one host may be behind.
 */
const MAX_UNLIKE = 8;
/**
 * The least time between two such lists, in ms. Where hosts come and go all the
 * time, records are never alike everywhere, and a list is 50 KB with 195 hosts.
 */
const LIST_EVERY_MS = 20_000;

/** Keeps track of the other hosts. */
export class HostTracker {
  /** Whether this host takes callers; set by the service that knows. */
  getState: () => PeerState = () => 'starting';
  readonly standing: StoreStatus;
  readonly loader: PeerTableLoader;
  private readonly watch: FailureDetector<PeerLocation>;
  private readonly reports = new ReaderReports();
  private readonly suspension = new SuspensionDetector();
  private readonly closing = new AbortController();
  private isFreshPlanned = false;
  private freshAt = -Infinity;
  /** Messages in a row whose sender knows other records. */
  private unlike = 0;
  private listAskedAt = -Infinity;
  /** What other hosts were last heard to have, by name. */
  private readonly heard = new Map<string, LastHeard>();

  constructor(
    private readonly parts: HostTrackerParts,
    private readonly send: SendToHosts,
  ) {
    const {
      name,
      incarnation,
      place,
      heartbeatMs: beatMs,
      clock,
      random,
    } = parts;
    const {tables, tableSource, log} = parts;
    const record: HostRecord = {
      name,
      incarnation,
      version: 1,
      state: 'starting',
      isStoreAway: false,
    };
    this.watch = new FailureDetector(
      record,
      place,
      TIMES,
      beatMs,
      random,
      hashRecord,
    );
    this.loader = new PeerTableLoader(
      tables,
      tableSource,
      clock,
      log,
      (changes) => {
        this.watch.acceptHostList(changes, clock.getNow());
        this.planFresh();
      },
    );
    this.standing = new StoreStatus(this.view, tables, this.reports);
  }

  /** The other hosts as this one knows them. */
  get view(): HostView<PeerLocation> {
    return this.watch.view;
  }

  /** Whether any other host was heard of late. */
  hasHeardAny(now: number): boolean {
    return this.watch.hasHeardAny(now);
  }

  /** Lists the hosts that are believed to be alive, this one first. */
  listAlive(): AliveHost[] {
    const own = {record: this.view.ownRecord, place: this.parts.place};
    const others = this.view.listAlive();
    return [own, ...others.map(({record, place}) => ({record, place}))];
  }

  /** Lists all hosts that are not forgotten, those with faults first. */
  listHostSummaries(now: number): HostSummary[] {
    const {view, standing, loader} = this;
    const readers = standing.listReaders();
    const show = (
      record: HostRecord,
      about: Pick<HostSummary, 'failureDomain' | 'standing'>,
      heard: LastHeard | undefined,
    ): HostSummary => {
      const {name, state, isStoreAway} = record;
      const place = readers.indexOf(name);
      return {
        name,
        ...about,
        state,
        isStoreAway,
        role: place < 0 ? 'listener' : `reader ${place}`,
        configuration: heard?.revisions.configuration,
        heardMs: heard === undefined ? undefined : now - heard.at,
      };
    };
    const {failureDomain} = this.parts.place;
    const own = {revisions: loader.listRevisions(), at: now};
    const hosts = [
      show(view.ownRecord, {failureDomain, standing: 'alive'}, own),
    ];
    for (const {record, place, standing: believed} of view.listKnown()) {
      const about = {failureDomain: place.failureDomain, standing: believed};
      hosts.push(show(record, about, this.heard.get(record.name)));
    }
    return sortHostSummaries(hosts);
  }

  /** Does what is due in a beat. */
  startHeartbeat(now: number): void {
    this.updateOwn(now);
    this.standing.updateRole(this.isAlone);
    this.sendWatch(this.watch.startBeat(now), now);
    for (const host of this.watch.takeNewlySuspected()) {
      this.parts.log.writeInfo('A host does not answer.', {host});
    }
    for (const host of this.view.dropLost(now)) {
      this.suspension.drop(host);
      this.heard.delete(host);
      this.parts.log.writeInfo('A host was silent for long.', {host});
    }
    this.planFresh();
    this.loader.loadNewer(now);
  }

  /** Tells some other hosts at once how this one stands now. */
  publishState(): void {
    const now = this.parts.clock.getNow();
    this.updateOwn(now);
    this.sendWatch(this.watch.createNotices(), now);
  }

  /** Takes a message of another host. */
  accept({watch, revisions, reports, sentAt}: MembershipDatagram): void {
    const {name, incarnation} = watch.sender;
    if (name === this.parts.name) return;
    this.checkClock(name, incarnation, sentAt);
    const now = this.parts.clock.getNow();
    const sent = this.watch.accept(watch, now);
    for (const report of reports) {
      if (report.name !== this.parts.name) this.reports.accept(report, now);
    }
    this.sendWatch(sent, now);
    this.planFresh();
    const sender = this.view.find(name);
    if (sender === undefined) return;
    this.heard.set(name, {revisions, at: now});
    this.loader.recordRevisions(revisions, sender.place.tables, now);
    this.compareRecords(watch.recordsHash, sender.place.tables, now);
  }

  close(): void {
    this.closing.abort();
    this.loader.close();
  }

  /** What is known here is older than it looks if the machine was suspended. */
  private checkClock(host: string, incarnation: number, theirMs: number): void {
    const {clock, log} = this.parts;
    const ownMs = clock.getSteadyNow();
    const wallMs = clock.getWallNow();
    const reading = {host, incarnation, theirMs, ownMs, wallMs};
    const ms = this.suspension.accept(reading);
    if (ms === 0) return;
    clock.addSuspension(ms);
    log.writeWarning('This machine was suspended.', {ms: Math.round(ms)});
  }

  private get isAlone(): boolean {
    return !this.parts.hasSeeds && this.view.countKnown() === 0;
  }

  private updateOwn(now: number): void {
    const isStoreAway = this.standing.hasStoreFailedRecently(now);
    this.watch.updateOwn({state: this.getState(), isStoreAway});
  }

  /** Tells of fresh changes in a moment. */
  private planFresh(): void {
    if (!this.watch.hasUrgentUpdates || this.isFreshPlanned) return;
    this.isFreshPlanned = true;
    void this.sendFresh();
  }

  private async sendFresh(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    const waitMs = this.freshAt + FRESH_EVERY_MS - clock.getNow();
    await clock.wait(Math.max(FRESH_DELAY_MS, waitMs), signal);
    if (signal.aborted) return;
    this.isFreshPlanned = false;
    this.freshAt = clock.getNow();
    this.sendWatch(this.watch.createNotices(), this.freshAt);
  }

  private sendWatch(sent: OutgoingGossip<PeerLocation>[], now: number): void {
    if (sent.length === 0) return;
    const revisions = this.loader.listRevisions();
    const own = this.standing.createReport(this.view.ownRecord, now);
    if (own !== undefined) this.reports.accept(own, now);
    const reports = this.reports.list(now);
    for (const {to, message: watch} of sent) {
      const sentAt = this.parts.clock.getSteadyNow();
      this.send([to], {kind: 'watch', watch, revisions, reports, sentAt});
    }
  }

  /** Asks for a whole list when others have long known other records. */
  private compareRecords(hash: number, tables: string, now: number): void {
    const isLike = hash === this.view.recordsHash;
    this.unlike = isLike ? 0 : this.unlike + 1;
    if (this.unlike < MAX_UNLIKE || this.watch.hasUrgentUpdates) return;
    if (now - this.listAskedAt < LIST_EVERY_MS) return;
    this.listAskedAt = now;
    void this.loader.loadAll(tables);
  }
}

function hashRecord({name, incarnation, version}: HostRecord): number {
  return hashText(`${name}/${incarnation}/${version}`);
}
