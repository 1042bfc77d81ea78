/**
 * Spreads what the store shows of the tables: changes, and that a change is the
 * newest one. What this host has just read from the store goes to its group and
 * to two hosts of each other group, which pass it on to theirs: of 195 hosts in
 * 6 failure domains, 57 get it from the host that read it, 44 of them in other
 * domains, in place of 194 and 162 (counted by a test).
 *
 * Rows that are larger than a datagram are told of without them, with where they
 * are to be had. Who lacks them asks at once; who passes the word on has them
 * first, so that its group asks it.
 */
import type {KnownHost, ReplicaRow} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {TableUpdateDatagram, PeerLocation} from '../model/peer_message.js';
import {createUpdateParts, decodePackedRows} from '../model/table_update.js';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {PeerTableLoader} from './peer_table_loader.js';
import type {StoreUpdate} from './store_update.js';
import type {TableFollower} from './table_follower.js';
import type {Tables} from './tables.js';
import type {SendToHosts} from '../services/use_publisher.js';

/** The hosts that news goes to. */
export interface UpdateTargets {
  /** Lists the other hosts of this host's group. */
  listGroup(): KnownHost<PeerLocation>[];
  /** Lists a few hosts of each other group, drawn at random. */
  listRelays(): KnownHost<PeerLocation>[];
}

/** What the spreader needs of the rest. */
export interface UpdateBroadcasterParts {
  readonly tables: Tables;
  readonly loader: PeerTableLoader;
  readonly targets: UpdateTargets;
  /** Whether a known host answers other hosts at this address. */
  isHost(tables: string): boolean;
  /** Where other hosts ask this one for its tables, as `ip:port`. */
  readonly source: string;
  readonly clock: Clock;
  readonly send: SendToHosts;
  readonly log: Logger;
}

const NO_ROWS = new Uint8Array();
/** How long other parts of the same changes may take to arrive, in ms. */
const PARTS_MS = 20;

/** Spreads what the store shows. */
export class UpdateBroadcaster {
  private isClosed = false;
  /** The newest changes that were passed on once they were here. */
  private readonly passedOn: Record<ReplicatedTable, number> = {
    configuration: 0,
    endpoints: 0,
    crashes: 0,
  };

  constructor(private readonly parts: UpdateBroadcasterParts) {}

  /** Starts to tell what the store brings. */
  start(): void {
    for (const table of REPLICATED_TABLES) {
      void this.parts.tables[table].storeUpdates.observe((news) => {
        this.publish(table, news, true);
      });
    }
  }

  close(): void {
    this.isClosed = true;
  }

  /** Takes news in; what does not follow on what is known is asked for. */
  accept(datagram: TableUpdateDatagram): void {
    const {table, after, revision, newest, packedRows} = datagram;
    const follower = this.parts.tables[table];
    // An address may have belonged to another deployment, whose revisions would
    // hide the own changes for good.
    if (!this.parts.isHost(datagram.source)) return;
    const rows = this.decodeRows(table, packedRows);
    if (rows === undefined || !follower.replica.isLoaded) return;
    const hasRows = rows.length > 0;
    const brings = hasRows && follower.applyUpdate(rows, after, revision);
    const isYounger = follower.applyFreshness(datagram);
    const lacks = newest > follower.replica.lastChange;
    if (lacks) void this.loadMissing(datagram, follower);
    // Its group is told once it can ask this host.
    if (lacks && !hasRows) return;
    // The other relay of the group may have passed it on already.
    if (lacks || brings || isYounger) this.passOn(datagram);
  }

  /** Tells the other hosts what the store has just shown this one. */
  publish(
    table: ReplicatedTable,
    news: StoreUpdate,
    isScheduledPoll: boolean,
  ): void {
    if (this.isClosed) return;
    const {source} = this.parts;
    const {rows, after, revision, newest} = news;
    const told = {newest, ageMs: 0, isScheduledPoll: isScheduledPoll, source};
    const word = {kind: 'news', table, ...told} as const;
    const parts = createUpdateParts(rows, after, revision) ?? [];
    for (const part of parts) this.sendToAll({...word, ...part});
    if (parts.length > 0) return;
    this.sendToAll({...word, after: newest, revision, packedRows: NO_ROWS});
  }

  /** Asks for what a datagram told of and did not bring. */
  private async loadMissing(
    datagram: TableUpdateDatagram,
    follower: TableFollower,
  ): Promise<void> {
    const {table, newest, source, packedRows} = datagram;
    const {clock, loader} = this.parts;
    const toldAt = clock.getNow();
    if (packedRows.length > 0) await clock.wait(PARTS_MS);
    await loader.loadChange(table, newest, source);
    if (this.isClosed || packedRows.length > 0) return;
    const isThere = follower.replica.lastChange >= newest;
    if (!isThere || this.passedOn[table] >= newest) return;
    this.passedOn[table] = newest;
    const ageMs = datagram.ageMs + clock.getNow() - toldAt;
    this.passOn({...datagram, source: this.parts.source, ageMs});
  }

  private passOn(datagram: TableUpdateDatagram): void {
    if (!datagram.isForGroup) return;
    const {send, targets} = this.parts;
    send(targets.listGroup(), {...datagram, isForGroup: false});
  }

  /** Undefined when they cannot be read. */
  private decodeRows(
    table: ReplicatedTable,
    packedRows: Uint8Array,
  ): ReplicaRow[] | undefined {
    if (packedRows.length === 0) return [];
    const rows = decodePackedRows(packedRows);
    if (rows.isOk()) return rows.value;
    const fault = rows.error;
    const {log} = this.parts;
    log.writeWarning('News of a table cannot be read.', {table, fault});
    return undefined;
  }

  private sendToAll(datagram: Omit<TableUpdateDatagram, 'isForGroup'>): void {
    const {send, targets} = this.parts;
    send(targets.listGroup(), {...datagram, isForGroup: false});
    send(targets.listRelays(), {...datagram, isForGroup: true});
  }
}
