/**
 * Tracks the store as seen by all hosts: which hosts read it, how old this
 * host's replicas are, and how long endpoints that vanished from it stay in
 * use.
 */
import {
  chooseStoreReaders,
  type HostPosition,
  type HostRecord,
  type HostView,
  type ReaderCandidate,
  type ReaderReport,
  type ReaderReports,
} from '@irisdock/decisions';
import type {PeerLocation} from '../model/peer_message.js';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {ReaderRole} from './store_update.js';
import type {Tables} from './tables.js';

/**
 * How many hosts read the store for all others. With one partitioned from the
 * store and another one frozen or stopped, one is left.
 */
const READER_COUNT = 3;
/**
 * The upper bound of reported ages and delays, in ms; also stands for the
 * infinite delay while the store is unavailable. No host stays unreachable for
 * so long.
 */
const MAX_REPORTED_MS = 60_000;

/** The status of the store as this host and the others see it. */
export class StoreStatus {
  private reportCount = 0;
  /** The hash of the host records from which the readers were last chosen. */
  private readersHash: number | undefined;
  private hadTables = false;

  constructor(
    private readonly view: HostView<PeerLocation>,
    private readonly tables: Tables,
    private readonly readerReports: ReaderReports,
    private readonly position: HostPosition,
  ) {}

  /** Whether this host has a replica of all tables, however old. */
  get hasTables(): boolean {
    return REPLICATED_TABLES.every(
      (name) => this.tables[name].replica.isLoaded,
    );
  }

  /**
   * Updates this host's role from the records of the live hosts. A host without
   * a replica of the tables reads them in any case.
   *
   * @param isAlone Whether this host knows no other host and no seed address.
   */
  updateRole(isAlone: boolean): void {
    const {view, hasTables} = this;
    const {ownRecord, recordsHash} = view;
    const isSame =
      recordsHash === this.readersHash && hasTables === this.hadTables;
    if (isSame) return;
    this.readersHash = recordsHash;
    this.hadTables = hasTables;
    if (!hasTables) {
      this.setRoles(isAlone ? {rank: 0, count: 1} : 'loader');
      return;
    }
    const readers = this.listReaders();
    const rank = readers.indexOf(ownRecord.name);
    this.setRoles(rank < 0 ? 'listener' : {rank, count: readers.length});
  }

  /** Lists the names of the hosts that read the store, in order of rank. */
  listReaders(): string[] {
    const {ownRecord} = this.view;
    const ownDomain = this.position.failureDomain;
    const candidates = [this.createCandidate(ownRecord, ownDomain)];
    for (const {record, place} of this.view.listAlive()) {
      candidates.push(this.createCandidate(record, place.failureDomain));
    }
    return chooseStoreReaders(candidates, READER_COUNT);
  }

  private createCandidate(record: HostRecord, domain: string): ReaderCandidate {
    const {hasSeveral} = this.position.regions;
    const region = hasSeveral ? this.position.regions.find(domain) : undefined;
    return {...record, region};
  }

  private setRoles(role: ReaderRole): void {
    for (const name of REPLICATED_TABLES) this.tables[name].setRole(role);
  }

  /** Whether this host is one of the readers of the store. */
  get isReading(): boolean {
    return this.tables.configuration.isReading;
  }

  /** Creates the report of this host; undefined unless it reads the store. */
  createReport(own: HostRecord, now: number): ReaderReport | undefined {
    const {configuration, endpoints} = this.tables;
    if (!this.isReading) return undefined;
    this.reportCount++;
    const delayMs = endpoints.reachability.getDepartureDelayMs(now);
    return {
      name: own.name,
      incarnation: own.incarnation,
      sequence: this.reportCount,
      configurationRevision: configuration.replica.lastChange,
      configurationAgeMs: Math.min(
        MAX_REPORTED_MS,
        configuration.getAgeMs(now),
      ),
      departureDelayMs: Math.min(MAX_REPORTED_MS, delayMs),
    };
  }

  /** The time since a table's replica was last known to be current, in ms. */
  getAgeMs(table: ReplicatedTable, now: number): number {
    if (table === 'configuration') return this.getConfigurationAgeMs(now);
    return Math.min(MAX_REPORTED_MS, this.tables[table].getAgeMs(now));
  }

  /** The time since the configuration was last known to be current, in ms. */
  getConfigurationAgeMs(now: number): number {
    const {configuration} = this.tables;
    return Math.min(
      MAX_REPORTED_MS,
      configuration.getAgeMs(now),
      this.readerReports.getConfigurationAgeMs(
        configuration.replica.lastChange,
        now,
      ),
    );
  }

  /**
   * How long an entry that vanished from the store stays in use, in ms: until
   * its endpoint had time to register again. The shortest delay of any reader
   * counts, as a reader that reached the store throughout needs none.
   */
  getDepartureDelayMs(now: number): number {
    const {endpoints} = this.tables;
    const reportedMs = this.readerReports.getDepartureDelayMs(now);
    if (!endpoints.isReading) return reportedMs ?? 0;
    const ownMs = endpoints.reachability.getDepartureDelayMs(now);
    return Math.min(ownMs, reportedMs ?? ownMs);
  }

  /** Whether a call of this host to the store failed recently. */
  hasStoreFailedRecently(now: number): boolean {
    return REPLICATED_TABLES.some((name) =>
      this.tables[name].hasStoreFailedRecently(now),
    );
  }
}
