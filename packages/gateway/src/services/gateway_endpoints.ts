/**
 * The endpoints of all services as this host knows them. What is known of one
 * goes by its start: an endpoint that starts again under its id is a new one. A
 * start that was seen leaving never gets new work again; one whose entry vanished
 * while the store was away is kept until the store had time to list it again. An
 * entry that cannot be read names no endpoint and changes nothing of the others.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type {Counter} from 'prom-client';
import {formatInstanceId, type EndpointEntry} from '../model/endpoint_entry.js';
import type {RowCodec} from '../model/table_store.js';
import {EndpointRecord, type RemovalCause} from '../serving/endpoint_record.js';
import {AddressIndex} from './address_index.js';
import type {EndpointPauses} from './endpoint_pauses.js';
import {LeavingInstances} from './leaving_instances.js';
import type {Peers} from './peer_hosts.js';

/** What the endpoints need of the rest. */
export interface GatewayEndpointsParts {
  readonly codec: RowCodec<EndpointEntry>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly getMemoryTokens: (service: string) => number;
  /** Whether the configuration in force names a service. */
  readonly isServiceConfigured: (service: string) => boolean;
  /** Finds the row of an endpoint in the table, by the endpoint's id. */
  readonly findRow: (endpointId: string) => ReplicaRow | undefined;
  /** Counts entries that cannot be read. */
  readonly unreadableEntries: Counter;
  /** For how long a vanished entry stays in use, in ms from now. */
  readonly getDepartureDelayMs: () => number;
  readonly peers: Peers;
  readonly pauses: EndpointPauses;
}

/** Where the leaving state of an endpoint came from. */
export type LeavingSource = 'answer' | 'entry';

/** How often delayed departures are looked at, in ms. */
const CHECK_MS = 200;

/** The endpoints. */
export class GatewayEndpoints {
  /** Differs whenever the endpoints that are known do. */
  version = 0;
  /** Called when an endpoint was added, has changed or is gone. */
  handleChange: (() => void) | undefined;
  /** By the instance id. */
  private readonly records = new Map<string, EndpointRecord>();
  /** The start that is known of each endpoint, by the endpoint's id. */
  private readonly starts = new Map<string, EndpointRecord>();
  private readonly addresses = new AddressIndex();
  /** Starts whose entries vanished, and that are still in use. */
  private readonly vanished = new Set<EndpointRecord>();
  /** Starts whose entries the store has not listed. */
  private readonly unlisted = new Set<EndpointRecord>();

  private readonly leavingStarts = new LeavingInstances();
  private dropTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: GatewayEndpointsParts) {}

  /** Ends what it waits for. */
  close(): void {
    clearTimeout(this.dropTimer);
  }

  /** Whether entries may be missing because the store is or was away. */
  get isStoreAway(): boolean {
    return this.parts.getDepartureDelayMs() > 0;
  }

  /** Finds an endpoint by its instance id. */
  find(instanceId: string): EndpointRecord | undefined {
    return this.records.get(instanceId);
  }

  /** Whether any start of an endpoint is known, by the endpoint's id. */
  hasEndpoint(endpointId: string): boolean {
    return this.starts.has(endpointId);
  }

  /** Lists all endpoints that are known. */
  listAll(): Iterable<EndpointRecord> {
    return this.records.values();
  }

  /** What other hosts are told and asked of engines. */
  get peers(): Peers {
    return this.parts.peers;
  }

  /** Lists the endpoints of a service that may get new work. */
  listUsable(service: string): EndpointRecord[] {
    const usable: EndpointRecord[] = [];
    for (const record of this.records.values()) {
      if (record.entry.service !== service || !record.isUsable) continue;
      if (!this.isPaused(record)) usable.push(record);
    }
    return usable;
  }

  /** The pauses that endpoints requested from this host. */
  get pauses(): EndpointPauses {
    return this.parts.pauses;
  }

  /** Whether a pause of the endpoint is in force on this host. */
  isPaused({instanceId}: EndpointRecord): boolean {
    return this.pauses.findEnd(instanceId) !== undefined;
  }

  /** Gives the earliest end of a pause among a service's endpoints, in ms. */
  findFirstPauseEnd(service: string): number | undefined {
    let first: number | undefined;
    for (const record of this.records.values()) {
      if (record.entry.service !== service || !record.isUsable) continue;
      const end = this.pauses.findEnd(record.instanceId);
      if (end !== undefined) first = Math.min(first ?? end, end);
    }
    return first;
  }

  /** Takes the rows of the table. */
  applyRows(rows: readonly ReplicaRow[]): void {
    const hostAddresses = this.listHostAddresses();
    for (const {key, value} of rows) {
      if (value === undefined) this.handleVanished(key);
      else this.applyEntry(key, value, hostAddresses);
    }
  }

  /**
   * Takes it that another endpoint answers at the address of this one. That one
   * is used again if an entry without its address had taken it out.
   *
   * @param answeredBy The id of the endpoint that answered, if it told it.
   */
  reportReplaced(record: EndpointRecord, answeredBy: string | undefined): void {
    this.remove(record, 'another endpoint answers at its address');
    if (answeredBy === undefined || this.hasEndpoint(answeredBy)) return;
    const value = this.parts.findRow(answeredBy)?.value;
    if (value === undefined) return;
    this.applyEntry(answeredBy, value, this.listHostAddresses());
  }

  /** Marks an instance as leaving for good; it gets no new work. */
  markLeaving(instanceId: string, source: LeavingSource): void {
    this.leavingStarts.add(instanceId);
    const record = this.records.get(instanceId);
    if (record?.entry.state !== 'ready') return;
    record.entry = {...record.entry, state: 'leaving'};
    this.handleChange?.();
    this.writeLeaving(record, source);
  }

  /**
   * Takes in the new start of an endpoint that the store could not list yet;
   * it is taken out again unless the store lists it after its return.
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
    } as const;
    this.unlisted.add(this.addRecord(entry));
    this.planDrop();
  }

  /** Takes out the entries without a row in the store, once that is back. */
  private dropVanished(): void {
    if (this.isStoreAway) {
      this.planDrop();
      return;
    }
    for (const record of [...this.vanished, ...this.unlisted]) {
      this.remove(record, 'its entry is missing');
    }
    this.vanished.clear();
    this.unlisted.clear();
  }

  /** Looks again in a moment; an idle host has no timer for it. */
  private planDrop(): void {
    this.dropTimer ??= setTimeout(() => {
      this.dropTimer = undefined;
      this.dropVanished();
    }, CHECK_MS);
  }

  private handleVanished(endpointId: string): void {
    const record = this.starts.get(endpointId);
    if (record === undefined) return;
    if (this.isStoreAway) {
      this.vanished.add(record);
      this.planDrop();
      this.parts.log.writeInfo('An entry vanished while the store was away.', {
        endpoint: record.instanceId,
      });
      return;
    }
    this.remove(record, 'its entry is gone');
  }

  private applyEntry(
    key: string,
    value: string,
    hostAddresses: ReadonlySet<string>,
  ): void {
    const decoded = this.parts.codec
      .decode(key, value)
      .andThen((entry) => checkAddress(entry, hostAddresses));
    const known = this.starts.get(key);
    if (decoded.isErr()) {
      const fault = decoded.error;
      this.parts.log.writeWarning('An entry names no endpoint.', {key, fault});
      this.parts.unreadableEntries.inc();
      if (known !== undefined) this.remove(known, 'its entry cannot be read');
      return;
    }
    const entry = decoded.value;
    if (known?.instanceId === entry.instanceId) {
      this.updateKnown(known, entry);
      return;
    }
    if (known !== undefined) {
      this.remove(known, 'it started anew', 'restarted');
    }
    this.removeOthersAt(entry);
    this.addRecord(entry);
  }

  /** Lists where the hosts that are known listen. */
  private listHostAddresses(): ReadonlySet<string> {
    const addresses = new Set<string>();
    for (const {place} of this.parts.peers.listAlive()) {
      const {callers, tables, datagrams} = place;
      for (const address of [callers, tables, datagrams]) {
        addresses.add(address);
      }
    }
    return addresses;
  }

  private addRecord(entry: EndpointEntry): EndpointRecord {
    const {clock, getMemoryTokens} = this.parts;
    const record = new EndpointRecord(
      this.keepLeaving(entry, false),
      () => getMemoryTokens(entry.service),
      () => clock.getNow(),
    );
    this.records.set(record.instanceId, record);
    this.starts.set(record.endpointId, record);
    this.addresses.add(record);
    this.version++;
    this.handleChange?.();
    return record;
  }

  /** Who was seen leaving stays so, whatever an older entry says. */
  private keepLeaving(
    entry: EndpointEntry,
    wasLeaving: boolean,
  ): EndpointEntry {
    const {instanceId, state} = entry;
    if (state === 'leaving') this.leavingStarts.add(instanceId);
    const isLeaving = wasLeaving || this.leavingStarts.has(instanceId);
    return isLeaving ? {...entry, state: 'leaving'} : entry;
  }

  private updateKnown(record: EndpointRecord, entry: EndpointEntry): void {
    this.vanished.delete(record);
    this.unlisted.delete(record);
    const wasLeaving = record.entry.state === 'leaving';
    this.addresses.delete(record);
    record.entry = this.keepLeaving(entry, wasLeaving);
    this.addresses.add(record);
    this.handleChange?.();
    if (wasLeaving || entry.state === 'ready') return;
    this.writeLeaving(record, 'entry');
  }

  private writeLeaving(
    {instanceId, address}: EndpointRecord,
    source: LeavingSource,
  ): void {
    this.parts.log.writeInfo('An endpoint is leaving.', {
      endpoint: instanceId,
      address,
      source,
    });
  }

  /**
   * Takes out who had the address before. Only the entry of a service that the
   * configuration names does so: another writer's entry must not take a sound
   * endpoint out. Two that name one address harm nothing, as the endpoint that
   * answers there refuses what is meant for the other.
   */
  private removeOthersAt(entry: EndpointEntry): void {
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
    this.starts.delete(record.endpointId);
    this.addresses.delete(record);
    this.vanished.delete(record);
    this.unlisted.delete(record);
    this.version++;
    record.markRemoved(cause);
    this.handleChange?.();
    const {instanceId: endpoint, address} = record;
    this.parts.log.writeInfo('An endpoint is gone.', {
      endpoint,
      address,
      reason,
    });
  }
}

/** What is sent to a host would come back to the endpoints from there. */
function checkAddress(
  entry: EndpointEntry,
  hostAddresses: ReadonlySet<string>,
): Result<EndpointEntry, string> {
  if (!hostAddresses.has(entry.address)) return ok(entry);
  return err('its address is that of a host');
}
