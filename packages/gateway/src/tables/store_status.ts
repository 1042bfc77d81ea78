/**
 * How this host and the others stand with the store: who of them reads it,
 * how old what they know may be, and for how long vanished entries are kept.
 */
import {
  chooseStoreReaders,
  type HostRecord,
  type HostView,
  type ReaderReport,
  type ReaderReports,
} from '@irisdock/decisions';
import type {PeerLocation} from '../model/peer_message.js';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {ReaderRole} from './store_update.js';
import type {Tables} from './tables.js';

/**
 * How many hosts read the store for all. One may be cut off, one frozen or
 * stopped at the same time, and one is left.
 */
const READERS = 3;
/** Stands for "while the store is away"; longer than any host is away. */
const MAX_DELAY_MS = 60_000;

/** The standing. */
export class StoreStatus {
  private reports = 0;
  /** The records by which the readers were last chosen. */
  private chosenBy: number | undefined;
  private hadTables = false;

  constructor(
    private readonly view: HostView<PeerLocation>,
    private readonly tables: Tables,
    private readonly readerReports: ReaderReports,
  ) {}

  /** Whether this host has a copy of all tables, however old. */
  get hasTables(): boolean {
    return REPLICATED_TABLES.every(
      (name) => this.tables[name].replica.isLoaded,
    );
  }

  /**
   * Starts or ends reading, as the hosts that are alive make it right. Who has
   * no copy of the tables reads them in any case.
   *
   * @param isAlone Whether this host knows of no other one, and of no seed.
   */
  updateRole(isAlone: boolean): void {
    const {view, hasTables} = this;
    const {ownRecord, recordsHash} = view;
    const isSame =
      recordsHash === this.chosenBy && hasTables === this.hadTables;
    if (isSame) return;
    this.chosenBy = recordsHash;
    this.hadTables = hasTables;
    if (!hasTables) {
      this.setRoles(isAlone ? {rank: 0, count: 1} : 'loader');
      return;
    }
    const readers = this.listReaders();
    const place = readers.indexOf(ownRecord.name);
    this.setRoles(
      place < 0 ? 'listener' : {rank: place, count: readers.length},
    );
  }

  /** Lists the names of the hosts that read the store, the first in line first. */
  listReaders(): string[] {
    const candidates = [this.view.ownRecord];
    for (const {record} of this.view.listAlive()) candidates.push(record);
    return chooseStoreReaders(candidates, READERS);
  }

  private setRoles(role: ReaderRole): void {
    for (const name of REPLICATED_TABLES) this.tables[name].setRole(role);
  }

  /** Whether this host is one of the few that read the store. */
  get isReading(): boolean {
    return this.tables.configuration.isReading;
  }

  /** Gives the report of this host; undefined unless it reads the store. */
  createReport(own: HostRecord, now: number): ReaderReport | undefined {
    const {configuration, endpoints} = this.tables;
    if (!this.isReading) return undefined;
    this.reports++;
    const delayMs = endpoints.contact.getDepartureDelayMs(now);
    return {
      name: own.name,
      incarnation: own.incarnation,
      sequence: this.reports,
      configurationRevision: configuration.replica.lastChange,
      configurationAgeMs: Math.min(MAX_DELAY_MS, configuration.getAgeMs(now)),
      departureDelayMs: Math.min(MAX_DELAY_MS, delayMs),
    };
  }

  /** How long ago the copy of a table was certainly the newest, in ms. */
  getAgeMs(table: ReplicatedTable, now: number): number {
    if (table === 'configuration') return this.getConfigurationAgeMs(now);
    return Math.min(MAX_DELAY_MS, this.tables[table].getAgeMs(now));
  }

  /** How long ago the configuration was certainly the newest, in ms. */
  getConfigurationAgeMs(now: number): number {
    const {configuration} = this.tables;
    return Math.min(
      MAX_DELAY_MS,
      configuration.getAgeMs(now),
      this.readerReports.getConfigurationAgeMs(
        configuration.replica.lastChange,
        now,
      ),
    );
  }

  /**
   * For how long a vanished entry stays in use, in ms: until the store had
   * time to list it again, by the word of whoever reached the store throughout.
   */
  getDepartureDelayMs(now: number): number {
    const {endpoints} = this.tables;
    const told = this.readerReports.getDepartureDelayMs(now);
    if (!endpoints.isReading) return told ?? 0;
    const own = endpoints.contact.getDepartureDelayMs(now);
    return Math.min(own, told ?? own);
  }

  /** Whether the store failed this host a moment ago. */
  hasStoreFailedRecently(now: number): boolean {
    return REPLICATED_TABLES.some((name) =>
      this.tables[name].hasStoreFailedRecently(now),
    );
  }
}
