/**
 * The software versions of each service over time: what the endpoints show now
 * (`version_ledger.ts`), and rows of the store that outlive all hosts. A row is
 * written when a version appears and deleted when no stream of it can be
 * resumed any more; in between, nothing is written. The first reader of the
 * store writes; another host only writes a row that is still missing after a
 * while, so that a version that only that host saw is saved as well.
 *
 * The routes of streams are kept in the same way, as one more service whose
 * versions are its routings: after a change, a stream may have begun at another
 * service than the one that its route leads to now.
 */
import {
  VersionLedger,
  type ReplicaRow,
  type ServiceVersion,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import {
  formatVersionKey,
  formatVersionValue,
  parseVersionKey,
  UNKNOWN_PAST_KEY,
} from '../model/version_row.js';
import type {
  PastDoubt,
  ServicePast,
  VersionHistory,
} from '../serving/version_history.js';
import type {HistoryCurrency} from './history_currency.js';
import type {RowWriter} from './row_writer.js';
import type {StoreConfirmation} from './store_confirmation.js';

/**
 * How long a version is kept after its last endpoint, in ms: the longest time
 * in which a caller may resume a stream, and a minute in which an attempt that
 * was sent before may bring its first event.
 */
export const KEEP_VERSION_MS = 660_000;
/** The longest time without observation that counts as absence, in ms. */
const MAX_GAP_MS = 5000;
/** A row is not written again until the store had this time to list it, in ms. */
const REPEAT_MS = 10_000;

/** The service whose versions are the routings of streams. */
const ROUTING = '=routes';

/** What is known of the other hosts and the store. */
export interface VersionWriters {
  /** Whether this host writes at once. */
  readonly isFirst: () => boolean;
  /** How long other hosts leave a row to the first one, in ms. */
  readonly getDelayMs: () => number;
  /** Whether calls to the store are likely to fail. */
  readonly isStoreAway: (now: number) => boolean;
}

/** An endpoint whose version is observed. */
export interface ObservedEndpoint {
  readonly entry: Pick<
    EndpointEntry,
    'instanceId' | 'isVersionAssumed' | 'service' | 'version'
  >;
}

/** The endpoints as this host knows them. */
export interface ObservedEndpoints {
  /** Increases whenever an endpoint is added or removed. */
  readonly version: number;
  /** Whether entries may be missing because the store was away. */
  readonly isStoreAway: boolean;
  listAll(): Iterable<ObservedEndpoint>;
}

/** Dependencies of the history. */
export interface ServiceVersionsParts {
  /** The name of this host. */
  readonly host: string;
  readonly clock: Clock;
  readonly endpoints: ObservedEndpoints;
  /**
   * Identifies which streams go to which services; empty without routes of
   * streams, undefined without a configuration.
   */
  readonly getRouting: () => string | undefined;
  readonly currency: HistoryCurrency;
  readonly writer: Pick<RowWriter, 'cancel' | 'put' | 'start'>;
  readonly writers: VersionWriters;
  /** Whether the store is known to have a row. */
  readonly hasRow: (key: string) => boolean;
  /**
   * Finds out whether a release without the history may have served; undefined
   * until that is known.
   */
  readonly findEarlierRelease: () => boolean | undefined;
  readonly confirmation: Pick<StoreConfirmation, 'run'>;
}

/** Keeps and saves the versions of all services, and the routes of streams. */
export class ServiceVersions implements VersionHistory {
  private readonly ledger = new VersionLedger({
    keepMs: KEEP_VERSION_MS,
    maxGapMs: MAX_GAP_MS,
  });
  /** Instances whose versions are assumed, with their services. */
  private readonly assumed = new Map<string, string>();
  /** When rows were written, and when deleted, by their keys. */
  private readonly putAt = new Map<string, number>();
  private readonly deletedAt = new Map<string, number>();
  private observedVersion = -1;
  private observedRouting: string | undefined;
  private writeCount = 0;
  /** When the table was first known, by this host's clock. */
  private loadedAt: number | undefined;
  private isStarted = false;

  constructor(private readonly parts: ServiceVersionsParts) {}

  listPossible(service: string): readonly string[] | undefined {
    const past = this.resolvePast(service);
    return 'versions' in past ? past.versions : undefined;
  }

  findDoubt(service: string): PastDoubt | undefined {
    const past = this.resolvePast(service);
    return 'doubt' in past ? past.doubt : undefined;
  }

  async tryConfirm(): Promise<boolean> {
    return this.parts.confirmation.run();
  }

  private resolvePast(service: string): ServicePast {
    const {clock, currency} = this.parts;
    const tableDoubt = currency.findDoubt(clock.getNow());
    if (tableDoubt !== undefined) return {doubt: tableDoubt};
    if (this.hasObservedChange) this.updateLedger();
    const {ledger} = this;
    if (ledger.has(UNKNOWN_PAST_KEY)) return {doubt: 'earlier_release'};
    if (!this.isRoutingKnown) {
      const hasRouting = ledger.hasRow(ROUTING);
      return {doubt: hasRouting ? 'routes_changed' : 'no_first_row'};
    }
    const known = ledger.listVersions(service);
    // A service without endpoints had no version if others have rows.
    const hasRow =
      known.length === 0
        ? ledger.hasRowOfOther(ROUTING)
        : ledger.hasRow(service);
    if (!hasRow) return {doubt: 'no_first_row'};
    const versions: string[] = [];
    for (const version of known) {
      if (version === undefined) return {doubt: 'version_unknown'};
      versions.push(version);
    }
    return {versions};
  }

  /** Applies changed rows of the table. */
  applyRows(rows: readonly ReplicaRow[]): void {
    const now = this.parts.clock.getNow();
    for (const {key, value} of rows) {
      const version = parseVersionKey(key);
      if (version === undefined) continue;
      if (value === undefined) {
        this.ledger.dropRow(key, now);
        continue;
      }
      this.ledger.applyRow({key, ...version}, now);
      this.parts.writer.cancel(key);
    }
  }

  /**
   * Decides before the first row what served before it. Rows of the history
   * show that the hosts that wrote them have decided.
   */
  private tryBegin(): void {
    const {clock, currency, findEarlierRelease, writers} = this.parts;
    if (this.isStarted || !currency.isLoaded) return;
    const now = clock.getNow();
    this.loadedAt ??= now;
    const waitMs = writers.isFirst() ? 0 : writers.getDelayMs();
    if (!this.ledger.hasRow()) {
      if (now - this.loadedAt < waitMs) return;
      const hasEarlierRelease = findEarlierRelease();
      if (hasEarlierRelease === undefined) return;
      if (hasEarlierRelease) this.saveUnknownPast(now);
    }
    this.isStarted = true;
  }

  /** Writes the row ahead of those of versions, so that none is without it. */
  private saveUnknownPast(now: number): void {
    const version = parseVersionKey(UNKNOWN_PAST_KEY);
    if (version === undefined) return;
    this.ledger.addAbsent({key: UNKNOWN_PAST_KEY, ...version}, now);
    this.put(UNKNOWN_PAST_KEY, now);
  }

  /** Saves again what the store lost when it was restored. */
  handleRestored(): void {
    const {clock, hasRow} = this.parts;
    this.ledger.markLost(hasRow, clock.getNow());
    this.putAt.clear();
    this.save();
  }

  /** Observes the endpoints and saves what has changed. */
  update(): void {
    this.updateLedger();
    this.save();
  }

  /** Does what time requires; to be called about each second. */
  runSweep(): void {
    const now = this.parts.clock.getNow();
    this.parts.currency.update(now);
    this.update();
    this.deleteExpired(now);
    for (const times of [this.putAt, this.deletedAt]) {
      for (const [key, at] of times) {
        if (now - at >= REPEAT_MS) times.delete(key);
      }
    }
  }

  /** Whether the history has begun, so that new versions are saved at once. */
  get hasBegun(): boolean {
    return this.isStarted;
  }

  /** Counts the versions by whether their rows are up to date. */
  countVersions(): {readonly saved: number; readonly unsaved: number} {
    return this.ledger.countVersions();
  }

  private get hasObservedChange(): boolean {
    const {endpoints, getRouting} = this.parts;
    if (endpoints.version !== this.observedVersion) return true;
    return getRouting() !== this.observedRouting;
  }

  /** Whether streams have had the same routes for as long as is kept. */
  private get isRoutingKnown(): boolean {
    const routing = this.observedRouting;
    if (routing === undefined) return false;
    const known = this.ledger.listVersions(ROUTING);
    if (routing === '') return known.length === 0;
    return known.length === 1 && this.ledger.hasRow(ROUTING);
  }

  private updateLedger(): void {
    const {clock, currency, endpoints, getRouting} = this.parts;
    // Without the rows, each version would look new.
    if (!currency.isLoaded) return;
    this.observedVersion = endpoints.version;
    const routing = getRouting();
    this.observedRouting = routing;
    const now = clock.getNow();
    const present = this.listPresent();
    if (routing !== undefined && routing !== '') {
      const version = {service: ROUTING, version: routing};
      present.set(formatVersionKey(version), version);
    }
    this.ledger.update(present, currency.isKnown(now), now);
  }

  /** Lists the versions of the known endpoints, by their keys. */
  private listPresent(): Map<string, ServiceVersion> {
    const present = new Map<string, ServiceVersion>();
    const resolved = new Set<string>();
    for (const {entry} of this.parts.endpoints.listAll()) {
      const {service, instanceId} = entry;
      const isAssumed = entry.isVersionAssumed === true;
      if (isAssumed) this.assumed.set(instanceId, service);
      else if (this.assumed.delete(instanceId)) resolved.add(service);
      const version = isAssumed ? undefined : entry.version;
      const one = {service, version};
      present.set(formatVersionKey(one), one);
    }
    this.dropResolved(resolved);
    return present;
  }

  /** Forgets the unknown version of services whose versions are all known. */
  private dropResolved(services: ReadonlySet<string>): void {
    if (services.size === 0) return;
    const unresolved = new Set(this.assumed.values());
    for (const service of services) {
      if (unresolved.has(service)) continue;
      const key = formatVersionKey({service, version: undefined});
      this.ledger.dropUnsaved(key);
    }
  }

  private save(): void {
    const {clock, endpoints, writer, writers} = this.parts;
    this.tryBegin();
    if (!this.isStarted) return;
    const now = clock.getNow();
    if (writers.isStoreAway(now)) return;
    const minMs = writers.isFirst() ? 0 : writers.getDelayMs();
    for (const {key, version} of this.ledger.listUnsaved(minMs, now)) {
      // The store lists the version of such an endpoint soon after its return.
      if (version === undefined && endpoints.isStoreAway) continue;
      if (!this.putAt.has(key)) this.put(key, now);
    }
    writer.start();
  }

  private put(key: string, now: number): void {
    const {host, clock, writer} = this.parts;
    this.putAt.set(key, now);
    this.deletedAt.delete(key);
    const write = ++this.writeCount;
    const value = {host, at: clock.getWallNow(), write};
    writer.put(key, formatVersionValue(value));
  }

  private deleteExpired(now: number): void {
    const {currency, writer, writers} = this.parts;
    if (!writers.isFirst() || !currency.isCurrent(now)) return;
    for (const {key, service, version} of this.ledger.listExpired(now)) {
      if (this.deletedAt.has(key)) continue;
      this.deletedAt.set(key, now);
      this.putAt.delete(key);
      writer.put(key, undefined);
      if (version === undefined) this.dropAssumed(service);
    }
    writer.start();
  }

  private dropAssumed(service: string): void {
    for (const [instanceId, of] of this.assumed) {
      if (of === service) this.assumed.delete(instanceId);
    }
  }
}
