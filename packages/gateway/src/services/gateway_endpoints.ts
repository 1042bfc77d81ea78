/**
 * The known endpoints, one record per instance. One that was seen leaving gets no
 * new work again; one whose entry vanished while the store was unavailable is kept
 * for a while. A rejected entry does not affect other endpoints.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {Counter} from 'prom-client';
import {formatInstanceId, type EndpointEntry} from '../model/endpoint_entry.js';
import type {RowCodec} from '../model/table_store.js';
import {EndpointRecord, type RemovalCause} from '../serving/endpoint_record.js';
import {AddressIndex, checkAddress} from './address_index.js';
import type {DrainingEndpoints} from './draining_endpoints.js';
import {
  isSameButEnd,
  recordAnnouncedEnd,
  type DrainParts,
} from './endpoint_ends.js';
import type {EndpointPauses} from './endpoint_pauses.js';
import {LeavingInstances, type LeavingSource} from './leaving_instances.js';
import type {Peers} from './peer_hosts.js';

/** Dependencies of the endpoints. */
export interface GatewayEndpointsParts extends DrainParts {
  readonly codec: RowCodec<EndpointEntry>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly getMemoryTokens: (service: string) => number;
  /** Whether the current configuration contains a service. */
  readonly isServiceConfigured: (service: string) => boolean;
  /** Finds an endpoint's row in the table, by the endpoint's id. */
  readonly findRow: (endpointId: string) => ReplicaRow | undefined;
  /** Counts rejected entries: undecodable, or with the address of a host. */
  readonly unreadableEntries: Counter;
  /** How much longer endpoints whose entries vanished are kept, in ms. */
  readonly getDepartureDelayMs: () => number;
  readonly peers: Peers;
  readonly pauses: EndpointPauses;
  readonly draining: DrainingEndpoints;
}

/** The interval between checks of delayed removals, in ms. */
const REMOVAL_CHECK_MS = 200;

/** Keeps the records of all known endpoints. */
export class GatewayEndpoints {
  /** Increases whenever an endpoint is added or removed. */
  version = 0;
  /** Called after an endpoint was added, changed or removed. */
  handleChange: (() => void) | undefined;
  /** By instance id. */
  private readonly records = new Map<string, EndpointRecord>();
  /** The known instance of each endpoint, by the endpoint's id. */
  private readonly instances = new Map<string, EndpointRecord>();
  private readonly addresses = new AddressIndex();
  /** Instances in use whose entries vanished from the store. */
  private readonly vanished = new Set<EndpointRecord>();
  /** Instances that the store has not listed yet. */
  private readonly unlisted = new Set<EndpointRecord>();

  private readonly leavingInstances = new LeavingInstances();
  private removalTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: GatewayEndpointsParts) {}

  /** Cancels the pending check of delayed removals. */
  close(): void {
    clearTimeout(this.removalTimer);
  }

  /** Whether entries may be missing because the store is or was unavailable. */
  get isStoreAway(): boolean {
    return this.parts.getDepartureDelayMs() > 0;
  }

  /**
   * Whether the known endpoints are those that the store lists. Otherwise, some
   * may be gone, and their successors are known beside them.
   */
  get isCurrent(): boolean {
    return !this.isStoreAway && this.removalTimer === undefined;
  }

  /** How long endpoints drain that the platform ends on order, in ms. */
  get drainMs(): number {
    return this.parts.drainMs;
  }

  /** Finds an endpoint by its instance id. */
  find(instanceId: string): EndpointRecord | undefined {
    return this.records.get(instanceId);
  }

  /** Whether any instance of an endpoint is known, by the endpoint's id. */
  hasEndpoint(endpointId: string): boolean {
    return this.instances.has(endpointId);
  }

  /** Lists all known endpoints. */
  listAll(): Iterable<EndpointRecord> {
    return this.records.values();
  }

  /** The other hosts, with which this one exchanges what runs on engines. */
  get peers(): Peers {
    return this.parts.peers;
  }

  /** Lists the endpoints of a service that may get new work. */
  listUsable(service: string): EndpointRecord[] {
    return this.listUnpaused(service).filter(({isUsable}) => isUsable);
  }

  /** Lists the endpoints of a service that may continue begun streams. */
  listOpenToBegun(service: string): EndpointRecord[] {
    return this.listUnpaused(service).filter(
      ({isOpenToBegun}) => isOpenToBegun,
    );
  }

  /** Lists the leaving endpoints of a service that still serve begun streams. */
  async listDraining(service: string): Promise<EndpointRecord[]> {
    const serving = await this.parts.draining.listDraining(service);
    return serving.filter((record) => !this.isPaused(record));
  }

  private listUnpaused(service: string): EndpointRecord[] {
    const unpaused: EndpointRecord[] = [];
    for (const record of this.records.values()) {
      if (record.entry.service !== service || !record.isReady) continue;
      if (!this.isPaused(record)) unpaused.push(record);
    }
    return unpaused;
  }

  /** The pauses that endpoints requested from this host. */
  get pauses(): EndpointPauses {
    return this.parts.pauses;
  }

  /** Whether a pause of the endpoint is in force on this host. */
  isPaused({instanceId}: EndpointRecord): boolean {
    return this.pauses.findEnd(instanceId) !== undefined;
  }

  /** Returns the earliest end of a pause among a service's endpoints, in ms. */
  findFirstPauseEnd(service: string): number | undefined {
    let first: number | undefined;
    for (const record of this.records.values()) {
      if (record.entry.service !== service || !record.isUsable) continue;
      const end = this.pauses.findEnd(record.instanceId);
      if (end !== undefined) first = Math.min(first ?? end, end);
    }
    return first;
  }

  /** Applies changed rows of the table. */
  applyRows(rows: readonly ReplicaRow[]): void {
    const hostAddresses = this.listHostAddresses();
    for (const row of rows) {
      if (row.value === undefined) this.handleDeletedRow(row.key);
      else this.applyEntry(row, row.value, hostAddresses);
    }
  }

  /**
   * Removes an endpoint because another one answers at its address. The one
   * that answered is added again if the entry of the removed endpoint had
   * displaced it.
   *
   * @param answeredBy The id of the endpoint that answered, if it sent one.
   */
  reportReplaced(record: EndpointRecord, answeredBy: string | undefined): void {
    this.remove(record, 'another endpoint answers at its address');
    if (answeredBy === undefined || this.hasEndpoint(answeredBy)) return;
    const row = this.parts.findRow(answeredBy);
    if (row?.value === undefined) return;
    this.applyEntry(row, row.value, this.listHostAddresses());
  }

  /** Marks an instance as leaving for good; it gets no new work. */
  markLeaving(instanceId: string, source: LeavingSource): void {
    this.leavingInstances.add(instanceId);
    const record = this.records.get(instanceId);
    if (record === undefined) return;
    this.parts.draining.end(record);
    if (record.entry.state !== 'ready') return;
    record.entry = {...record.entry, state: 'leaving'};
    recordAnnouncedEnd(record, undefined, this.parts);
    this.handleChange?.();
    this.writeLeavingLog(record, source);
  }

  /**
   * Adds an endpoint that the store could not list yet, in place of an old one.
   * It is removed unless the store lists it once it is available again.
   */
  addSuccessor(
    old: EndpointRecord,
    endpointId: string,
    startMs: number | undefined,
  ): void {
    if (this.hasEndpoint(endpointId)) return;
    const instanceId = formatInstanceId(endpointId, startMs);
    const entry = {
      ...old.entry,
      endpointId,
      instanceId,
      state: 'ready',
      isVersionAssumed: true,
    } as const;
    this.unlisted.add(this.addRecord(entry));
    this.planRemoval();
  }

  /** Removes endpoints without a row once the store is available again. */
  private removeUnlisted(): void {
    if (this.isStoreAway) {
      this.planRemoval();
      return;
    }
    for (const record of [...this.vanished, ...this.unlisted]) {
      this.remove(record, 'its entry is missing');
    }
    this.vanished.clear();
    this.unlisted.clear();
  }

  /** Schedules the next check; no timer runs while nothing is pending. */
  private planRemoval(): void {
    this.removalTimer ??= setTimeout(() => {
      this.removalTimer = undefined;
      this.removeUnlisted();
    }, REMOVAL_CHECK_MS);
  }

  private handleDeletedRow(endpointId: string): void {
    const record = this.instances.get(endpointId);
    if (record === undefined) return;
    if (this.isStoreAway) {
      this.vanished.add(record);
      this.planRemoval();
      this.parts.log.writeInfo(
        'Endpoint entry vanished while the store was unavailable.',
        {
          endpoint: record.instanceId,
        },
      );
      return;
    }
    this.remove(record, 'its entry is gone');
  }

  private applyEntry(
    {key, revision}: ReplicaRow,
    value: string,
    hostAddresses: ReadonlySet<string>,
  ): void {
    const decoded = this.parts.codec
      .decode(key, value)
      .andThen((entry) => checkAddress(entry, hostAddresses));
    const known = this.instances.get(key);
    if (decoded.isErr()) {
      const fault = decoded.error;
      this.parts.log.writeWarning('Rejected an endpoint entry.', {
        key,
        fault,
      });
      this.parts.unreadableEntries.inc();
      if (known !== undefined) this.remove(known, 'its entry cannot be read');
      return;
    }
    const entry = decoded.value;
    if (known?.instanceId === entry.instanceId) {
      const isSame = isSameButEnd(known.entry, entry);
      if (isSame) recordAnnouncedEnd(known, entry, this.parts);
      else this.updateRecord(known, entry, revision);
      return;
    }
    if (known !== undefined) {
      this.remove(known, 'it started anew', 'restarted');
    }
    this.removeOthersAtAddress(entry);
    this.addRecord(entry);
  }

  /**
   * Lists the addresses at which this host and its live peers accept
   * connections. An endpoint may have the port of a host's datagrams.
   */
  private listHostAddresses(): ReadonlySet<string> {
    const addresses = new Set<string>();
    for (const {place} of this.parts.peers.listAlive()) {
      addresses.add(place.callers).add(place.tables);
    }
    return addresses;
  }

  private addRecord(entry: EndpointEntry): EndpointRecord {
    const {clock, draining, getMemoryTokens} = this.parts;
    const wasLeaving = this.leavingInstances.has(entry.instanceId);
    const record = new EndpointRecord(
      this.keepLeaving(entry, false),
      () => getMemoryTokens(entry.service),
      () => clock.getNow(),
    );
    this.records.set(record.instanceId, record);
    this.instances.set(record.endpointId, record);
    this.addresses.add(record);
    recordAnnouncedEnd(record, entry, this.parts);
    if (!wasLeaving && !record.isReady) draining.add(record);
    this.version++;
    this.handleChange?.();
    return record;
  }

  /** Keeps an instance leaving, even if an older entry lists it as ready. */
  private keepLeaving(
    entry: EndpointEntry,
    wasLeaving: boolean,
  ): EndpointEntry {
    const {instanceId, state} = entry;
    if (state === 'leaving') this.leavingInstances.add(instanceId);
    const isLeaving = wasLeaving || this.leavingInstances.has(instanceId);
    return isLeaving ? {...entry, state: 'leaving'} : entry;
  }

  private updateRecord(
    record: EndpointRecord,
    entry: EndpointEntry,
    revision: number,
  ): void {
    const wasUnlisted = this.unlisted.delete(record);
    const isListed = !this.vanished.delete(record) && !wasUnlisted;
    const wasLeaving = record.entry.state === 'leaving';
    this.addresses.delete(record);
    record.entry = this.keepLeaving(entry, wasLeaving);
    this.addresses.add(record);
    recordAnnouncedEnd(record, entry, this.parts);
    this.handleChange?.();
    if (wasLeaving || entry.state === 'ready') return;
    if (isListed) this.parts.draining.start(record, revision);
    this.writeLeavingLog(record, 'entry');
  }

  private writeLeavingLog(
    {instanceId: endpoint, address}: EndpointRecord,
    source: LeavingSource,
  ): void {
    const fields = {endpoint, address, source};
    this.parts.log.writeInfo('Endpoint is leaving.', fields);
  }

  /**
   * Removes the previous endpoints at an entry's address. Only entries of
   * services in the configuration do so: an entry of another writer must not
   * remove a healthy endpoint. Two endpoints with one address do no harm, as
   * the one that answers there rejects requests for the other.
   */
  private removeOthersAtAddress(entry: EndpointEntry): void {
    if (!this.parts.isServiceConfigured(entry.service)) return;
    for (const record of this.addresses.list(entry.address)) {
      this.remove(record, 'a newer entry has its address');
    }
  }

  private remove(
    record: EndpointRecord,
    reason: string,
    cause: RemovalCause = 'withdrawn',
  ): void {
    this.records.delete(record.instanceId);
    this.instances.delete(record.endpointId);
    this.addresses.delete(record);
    this.vanished.delete(record);
    this.unlisted.delete(record);
    this.parts.draining.end(record);
    this.version++;
    record.markRemoved(cause);
    this.handleChange?.();
    const {instanceId: endpoint, address} = record;
    const fields = {endpoint, address, reason};
    this.parts.log.writeInfo('Endpoint removed.', fields);
  }
}
