/**
 * Tracks the other hosts: carries the gossip messages that detect failures of
 * hosts. Each message also has the sender's table revisions and the reports of
 * the hosts that read the store.
 */
import {
  hashText,
  FailureDetector,
  ReaderReports,
  SuspensionDetector,
  type HostPosition,
  type HostRecord,
  type HostView,
  type KnownHost,
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
import {RecordDifferences} from './record_differences.js';
import {StoreStatus} from '../tables/store_status.js';
import type {Tables} from '../tables/tables.js';
import type {SendToHosts} from './use_publisher.js';

/** The life-cycle state of a host: starting, ready for callers, or leaving. */
export type PeerState = HostRecord['state'];

/** A host that is considered alive. */
export interface AliveHost {
  readonly record: HostRecord;
  readonly place: PeerLocation;
}

/** Dependencies of the tracker. */
export interface HostTrackerParts {
  readonly name: string;
  readonly incarnation: number;
  /** The addresses and the failure domain of this host. */
  readonly place: PeerLocation;
  /** Which other hosts are near. */
  readonly position: HostPosition;
  /** The time between two heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Whether seeds are set: other hosts may run that are not known yet. */
  readonly hasSeeds: boolean;
  readonly tables: Tables;
  readonly tableSource: PeerTableSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * The times from suspicion until a host counts as lost, and from then until it
 * is removed, in ms. Suspected and lost hosts get no callers but are still
 * probed.
 */
const TIMEOUTS = {lostAfterMs: 3000, forgetAfterMs: 60_000};
/** How long urgent host updates are batched, in ms. */
const UPDATE_BATCH_MS = 20;
/**
 * The minimum time between two rounds of updates, in ms. It limits what a host
 * sends while many hosts change at once: to 38 messages per second instead of
 * 150.
 */
const MIN_UPDATE_INTERVAL_MS = 80;
/**
 * The minimum time between two loads of the full list, in ms. Where hosts come
 * and go all the time, records always differ, and a list is 50 KB with 195
 * hosts.
 */
const MIN_LIST_INTERVAL_MS = 20_000;

/** Tracks which other hosts are alive, and their states. */
export class HostTracker {
  /** Returns this host's state; set by the service that knows it. */
  getState: () => PeerState = () => 'starting';
  /** Whether calls of this host for tasks fail; set by the service `tasks`. */
  isTaskExcluded: () => boolean = () => false;
  readonly standing: StoreStatus;
  readonly loader: PeerTableLoader;
  private readonly detector: FailureDetector<PeerLocation>;
  private readonly reports = new ReaderReports();
  private readonly suspensionDetector = new SuspensionDetector();
  private readonly closing = new AbortController();
  private isUpdatePlanned = false;
  private updatesSentAt = -Infinity;
  private readonly differences: RecordDifferences;
  private listLoadedAt = -Infinity;
  /** The last revisions received from each host, by name. */
  private readonly lastHeard = new Map<string, LastHeard>();

  constructor(
    private readonly parts: HostTrackerParts,
    private readonly send: SendToHosts,
  ) {
    const {name, incarnation, place, heartbeatMs, clock, random} = parts;
    const {tables, tableSource, log} = parts;
    const record: HostRecord = {
      name,
      incarnation,
      version: 1,
      state: 'starting',
      isStoreAway: false,
    };
    this.differences = new RecordDifferences(parts.position);
    this.detector = new FailureDetector(
      record,
      place,
      TIMEOUTS,
      heartbeatMs,
      random,
      hashRecord,
      ({failureDomain}) => parts.position.isNear(failureDomain),
    );
    this.loader = new PeerTableLoader(
      tables,
      tableSource,
      clock,
      log,
      (changes) => {
        this.detector.acceptHostList(changes, clock.getNow());
        this.planUpdate();
      },
      (address) => this.isNearAddress(address),
    );
    this.standing = new StoreStatus(
      this.view,
      tables,
      this.reports,
      parts.position,
    );
  }

  /** What this host knows of the other hosts. */
  get view(): HostView<PeerLocation> {
    return this.detector.view;
  }

  /** Whether any other host was heard from recently. */
  hasHeardAny(now: number): boolean {
    return this.detector.hasHeardAny(now);
  }

  /** Lists the hosts that are considered alive, this one first. */
  listAlive(): AliveHost[] {
    const own = {record: this.view.ownRecord, place: this.parts.place};
    const others = this.view.listAlive();
    return [own, ...others.map(({record, place}) => ({record, place}))];
  }

  /** Lists all known hosts, those with faults first. */
  listHostSummaries(now: number): HostSummary[] {
    const {view, standing, loader} = this;
    const {position} = this.parts;
    const readers = standing.listReaders();
    const createSummary = (
      record: HostRecord,
      place: PeerLocation,
      standing: HostSummary['standing'],
      lastHeard: LastHeard | undefined,
    ): HostSummary => {
      const {name, state, isStoreAway} = record;
      const rank = readers.indexOf(name);
      return {
        name,
        failureDomain: place.failureDomain,
        region: position.regions.find(place.failureDomain),
        capacity: place.capacity,
        standing,
        state,
        isStoreAway,
        role: rank < 0 ? 'listener' : `reader ${rank}`,
        configuration: lastHeard?.revisions.configuration,
        heardMs: lastHeard === undefined ? undefined : now - lastHeard.at,
      };
    };
    const own = {revisions: loader.listRevisions(), at: now};
    const hosts = [
      createSummary(view.ownRecord, this.parts.place, 'alive', own),
    ];
    for (const {record, place, standing} of view.listKnown()) {
      const lastHeard = this.lastHeard.get(record.name);
      hosts.push(createSummary(record, place, standing, lastHeard));
    }
    return sortHostSummaries(hosts);
  }

  /** Does the work of one heartbeat. */
  startHeartbeat(now: number): void {
    this.updateOwnRecord(now);
    this.standing.updateRole(this.isAlone);
    this.sendGossip(this.detector.startBeat(now), now);
    for (const host of this.detector.takeNewlySuspected()) {
      this.parts.log.writeInfo('Host is suspected: it does not answer.', {
        host,
      });
    }
    for (const host of this.view.dropLost(now)) {
      this.suspensionDetector.drop(host);
      this.differences.drop(host);
      this.lastHeard.delete(host);
      this.parts.log.writeInfo('Host removed: it was silent for too long.', {
        host,
      });
    }
    this.planUpdate();
    this.loader.loadNewer(now);
  }

  /** Sends this host's state to some other hosts at once. */
  publishState(): void {
    const now = this.parts.clock.getNow();
    this.updateOwnRecord(now);
    this.sendGossip(this.detector.createNotices(), now);
  }

  /** Handles a gossip message of another host. */
  accept({watch, revisions, reports, sentAt}: MembershipDatagram): void {
    const {name, incarnation} = watch.sender;
    if (name === this.parts.name) return;
    this.checkSuspension(name, incarnation, sentAt);
    const now = this.parts.clock.getNow();
    const sent = this.detector.accept(watch, now);
    for (const report of reports) {
      if (report.name !== this.parts.name) this.reports.accept(report, now);
    }
    this.sendGossip(sent, now);
    this.planUpdate();
    const sender = this.view.find(name);
    if (sender === undefined) return;
    this.lastHeard.set(name, {revisions, at: now});
    const isStarting = sender.record.state === 'starting';
    this.loader.recordRevisions(
      revisions,
      sender.place.tables,
      now,
      isStarting,
    );
    this.compareRecords(watch.recordsHash, sender, now);
  }

  close(): void {
    this.closing.abort();
    this.loader.close();
  }

  /**
   * Detects by the sender's clock whether this machine was suspended. If so,
   * what this host knows is older than its own clock shows, and the clock is
   * corrected.
   */
  private checkSuspension(
    host: string,
    incarnation: number,
    theirMs: number,
  ): void {
    const {clock, log} = this.parts;
    const ownMs = clock.getSteadyNow();
    const wallMs = clock.getWallNow();
    const reading = {host, incarnation, theirMs, ownMs, wallMs};
    const ms = this.suspensionDetector.accept(reading);
    if (ms === 0) return;
    clock.addSuspension(ms);
    log.writeWarning('This machine was suspended.', {ms: Math.round(ms)});
  }

  /** Whether the host with this table address is of this host's region. */
  private isNearAddress(tables: string): boolean {
    const {position} = this.parts;
    if (!position.hasSeveralRegions) return true;
    const known = this.view.listKnown();
    const host = known.find(({place}) => place.tables === tables);
    return host !== undefined && position.isNear(host.place.failureDomain);
  }

  private get isAlone(): boolean {
    return !this.parts.hasSeeds && this.view.countKnown() === 0;
  }

  private updateOwnRecord(now: number): void {
    const isStoreAway = this.standing.hasStoreFailedRecently(now);
    const state = this.getState();
    if (state !== this.view.ownRecord.state) {
      this.parts.log.writeInfo('The state of this host changed.', {state});
    }
    const isTaskExcluded = this.isTaskExcluded() ? true : undefined;
    this.detector.updateOwn({state, isStoreAway, isTaskExcluded});
  }

  /** Schedules a message with urgent host updates. */
  private planUpdate(): void {
    if (!this.detector.hasUrgentUpdates || this.isUpdatePlanned) return;
    this.isUpdatePlanned = true;
    void this.sendUpdates();
  }

  private async sendUpdates(): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    const waitMs = this.updatesSentAt + MIN_UPDATE_INTERVAL_MS - clock.getNow();
    await clock.wait(Math.max(UPDATE_BATCH_MS, waitMs), signal);
    if (signal.aborted) return;
    this.isUpdatePlanned = false;
    this.updatesSentAt = clock.getNow();
    this.sendGossip(this.detector.createNotices(), this.updatesSentAt);
  }

  private sendGossip(sent: OutgoingGossip<PeerLocation>[], now: number): void {
    if (sent.length === 0) return;
    const revisions = this.loader.listRevisions();
    const own = this.standing.createReport(this.view.ownRecord, now);
    if (own !== undefined) this.reports.accept(own, now);
    const reports = this.reports.list(now);
    for (const {to, message} of sent) {
      const sentAt = this.parts.clock.getSteadyNow();
      this.send([to], {
        kind: 'watch',
        watch: message,
        revisions,
        reports,
        sentAt,
      });
    }
  }

  /** Loads the full host list if other hosts' records differ for long. */
  private compareRecords(
    recordsHash: number,
    sender: KnownHost<PeerLocation>,
    now: number,
  ): void {
    const ownRecordsHash = this.view.recordsHash;
    const message = {sender, recordsHash, ownRecordsHash};
    const source = this.differences.accept(message, () =>
      this.view.listAlive(),
    );
    if (source === undefined || this.detector.hasUrgentUpdates) return;
    if (now - this.listLoadedAt < MIN_LIST_INTERVAL_MS) return;
    this.listLoadedAt = now;
    void this.loader.loadAll(source);
  }
}

function hashRecord({name, incarnation, version}: HostRecord): number {
  return hashText(`${name}/${incarnation}/${version}`);
}
