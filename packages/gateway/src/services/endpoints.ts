/**
 * The service `endpoints`: the endpoints of all services as this host knows
 * them. An endpoint that was seen leaving never gets new work again under the
 * same instance id; one whose entry vanished while the store was away is kept
 * until the store had time to list it again.
 */
import type {ReplicaRow} from '@irisdock/decisions';
import {
  createService,
  createServiceKey,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {RowCodec} from '../model/watched_table.js';
import {EndpointRecord} from '../serving/endpoint_record.js';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {EndpointUses} from './endpoint_uses.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {CODECS} from './store.js';
import {TABLES_KEY} from './tables.js';

/** What the endpoints need of the rest. */
interface EndpointsParts {
  readonly codec: RowCodec<EndpointEntry>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly getMemoryTokens: (service: string) => number;
  /** For how long a vanished entry stays in use, in ms from now. */
  readonly getDepartureDelay: () => number;
  readonly peers: Peers;
}

/** How often delayed departures are looked at, in ms. */
const CHECK_MS = 200;

/** The endpoints. */
export class GatewayEndpoints {
  /** Differs whenever the endpoints that are known do. */
  version = 0;
  private readonly records = new Map<string, EndpointRecord>();
  /** Instance ids of vanished entries that are still in use. */
  private readonly vanished = new Set<string>();

  /** Instance ids of successors whose entries the store has not listed. */
  private readonly unlisted = new Set<string>();

  private dropTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: EndpointsParts) {}

  /** Ends what it waits for. */
  close(): void {
    clearTimeout(this.dropTimer);
  }

  /** Whether entries may be missing because the store is or was away. */
  get isStoreAway(): boolean {
    return this.parts.getDepartureDelay() > 0;
  }

  /** Finds an endpoint by its instance id. */
  find(instanceId: string): EndpointRecord | undefined {
    return this.records.get(instanceId);
  }

  /** Finds the endpoint that answers at an address now. */
  findAt(address: string): EndpointRecord | undefined {
    for (const record of this.records.values()) {
      if (record.address === address) return record;
    }
    return undefined;
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
      usable.push(record);
    }
    return usable;
  }

  /** Takes the rows of the table. */
  applyRows(rows: readonly ReplicaRow[]): void {
    for (const {key, value} of rows) {
      if (value === undefined) this.handleVanished(key);
      else this.applyEntry(key, value);
    }
  }

  /** Takes it that another endpoint answers at the address of this one. */
  reportReplaced(record: EndpointRecord): void {
    this.remove(record, 'another instance answers at its address');
  }

  /**
   * Takes in the new start of an endpoint that the store could not list yet;
   * it is taken out again unless the store lists it after its return.
   */
  addSuccessor(old: EndpointRecord, instanceId: string): void {
    if (this.records.has(instanceId)) return;
    this.unlisted.add(instanceId);
    this.planDrop();
    this.addRecord({...old.entry, instanceId, state: 'ready'});
  }

  /** Takes out the entries without a row in the store, once that is back. */
  private dropVanished(): void {
    if (this.isStoreAway) {
      this.planDrop();
      return;
    }
    for (const instanceId of [...this.vanished, ...this.unlisted]) {
      const record = this.records.get(instanceId);
      if (record !== undefined) this.remove(record, 'its entry is missing');
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

  private handleVanished(instanceId: string): void {
    const record = this.records.get(instanceId);
    if (record === undefined) return;
    if (this.isStoreAway) {
      this.vanished.add(instanceId);
      this.planDrop();
      this.parts.log.writeInfo('An entry vanished while the store was away.', {
        endpoint: instanceId,
      });
      return;
    }
    this.remove(record, 'its entry is gone');
  }

  private applyEntry(key: string, value: string): void {
    const decoded = this.parts.codec.decode(key, value);
    if (decoded.isErr()) {
      const fault = decoded.error;
      this.parts.log.writeError('An entry cannot be read.', {key, fault});
      return;
    }
    const entry = decoded.value;
    this.vanished.delete(key);
    this.unlisted.delete(key);
    const known = this.records.get(entry.instanceId);
    if (known !== undefined) {
      this.updateKnown(known, entry);
      return;
    }
    this.addRecord(entry);
  }

  private addRecord(entry: EndpointEntry): void {
    this.removeOthersAt(entry);
    const {clock, getMemoryTokens} = this.parts;
    const record = new EndpointRecord(
      entry,
      () => getMemoryTokens(entry.service),
      () => clock.getNow(),
    );
    this.records.set(entry.instanceId, record);
    this.version++;
  }

  private updateKnown(record: EndpointRecord, entry: EndpointEntry): void {
    const wasLeaving = record.entry.state === 'leaving';
    // Who was seen leaving stays so, whatever an older entry says.
    record.entry = wasLeaving ? {...entry, state: 'leaving'} : entry;
    if (wasLeaving || entry.state === 'ready') return;
    const {instanceId, address} = entry;
    this.parts.log.writeInfo('An endpoint is leaving.', {
      endpoint: instanceId,
      address,
    });
  }

  /** An address has one endpoint; the newest entry says which. */
  private removeOthersAt(entry: EndpointEntry): void {
    for (const record of [...this.records.values()]) {
      if (record.address !== entry.address) continue;
      this.remove(record, 'a newer entry has its address');
    }
  }

  private remove(record: EndpointRecord, reason: string): void {
    this.records.delete(record.instanceId);
    this.version++;
    record.markGone();
    const {instanceId: endpoint, address} = record;
    this.parts.log.writeInfo('An endpoint is gone.', {
      endpoint,
      address,
      reason,
    });
  }
}

/** The key of the service. */
export const GATEWAY_ENDPOINTS =
  createServiceKey<GatewayEndpoints>('endpoints');

/** Memory of an engine whose service does not tell it, in tokens. */
const UNKNOWN_MEMORY_TOKENS = Number.MAX_SAFE_INTEGER;

/** Declares the service. */
export const GATEWAY_ENDPOINTS_SERVICE = createService({
  key: GATEWAY_ENDPOINTS,
  settings: z.object({}),
  needs: [CODECS, TABLES_KEY, GATEWAY_CONFIGURATION, PEERS],
  create(context) {
    const {endpoints: table} = context.find(TABLES_KEY);
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const peers = context.find(PEERS);
    const {clock, log} = context;
    const api = new GatewayEndpoints({
      codec: context.find(CODECS).endpoints,
      clock,
      log,
      getMemoryTokens: (service) =>
        configuration.findService(service)?.engine?.memoryTokens ??
        UNKNOWN_MEMORY_TOKENS,
      getDepartureDelay: () => peers.standing.getDepartureDelay(clock.getNow()),
      peers,
    });
    peers.useBoard = new EndpointUses(api);
    api.applyRows(table.replica.listAll());
    void table.news.observe((rows) => {
      api.applyRows(rows);
    });
    new Gauge({
      name: 'irisdock_gateway_endpoints',
      help: 'Endpoints that are known, a count, by state.',
      labelNames: ['state'],
      registers: [context.metrics],
      collect() {
        this.reset();
        for (const {entry} of api.listAll()) this.inc({state: entry.state});
      },
    });
    return {
      api,
      stop() {
        api.close();
        return Promise.resolve();
      },
    };
  },
});
