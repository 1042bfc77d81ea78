/**
 * Asks other hosts for what did not come by itself: changes of the tables of
 * which another host has told, all that a host knows when this one has just
 * started, and the list of hosts.
 */
import {
  formatRevision,
  UpdateSources,
  type HostUpdate,
  type TableReplica,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {PeerTableSource} from './peer_table_source.js';
import type {PeerLocation, TableRevisions} from '../model/peer_message.js';
import {decodeTableRows} from '../model/peer_tables_message.js';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {Tables} from './tables.js';

/** How long a change may take to arrive by itself before a host is asked, in ms. */
const OWN_CHANCE_MS = 250;
/**
 * How long a host may take to answer before a second one is asked too, in ms. A
 * host that is there takes a few; one that is gone would hold a change up.
 */
const SECOND_SOURCE_MS = 100;
/** Hosts that are asked for one table at a time. */
const MAX_ASKED = 2;

/** How one table is asked for. */
interface TablePull {
  readonly sources: UpdateSources;
  /** The addresses that are being asked. */
  readonly asked: Set<string>;
  /** When a change beyond the own ones was first told of. */
  behindSince: number | undefined;
  running: Promise<void> | undefined;
}

/** Loads from other hosts. */
export class PeerTableLoader {
  private readonly pulls: Readonly<Record<ReplicatedTable, TablePull>> = {
    configuration: createPull(),
    endpoints: createPull(),
    crashes: createPull(),
  };

  constructor(
    private readonly tables: Tables,
    private readonly source: PeerTableSource,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly acceptHosts: (
      changes: readonly HostUpdate<PeerLocation>[],
    ) => void,
  ) {}

  close(): void {
    this.source.close();
  }

  /** Lists the newest changes that this host knows. */
  listRevisions(): TableRevisions {
    const {configuration, endpoints, crashes} = this.tables;
    return {
      configuration: configuration.replica.lastChange,
      endpoints: endpoints.replica.lastChange,
      crashes: crashes.replica.lastChange,
    };
  }

  /** Takes which changes the host at an address knows. */
  recordRevisions(told: TableRevisions, address: string, now: number): void {
    for (const table of REPLICATED_TABLES) {
      this.markNewer(table, told[table], address, now);
    }
  }

  /** Asks hosts that have had a newer change for a while. */
  loadNewer(now: number): void {
    for (const table of REPLICATED_TABLES) {
      const {behindSince = now} = this.pulls[table];
      const {isLoaded} = this.tables[table].replica;
      const waits = isLoaded && now - behindSince < OWN_CHANCE_MS;
      if (!waits) void this.loadTable(table);
    }
  }

  /**
   * Asks at once for a change that the host at an address has; resolves when
   * it is there, or nobody is left to ask.
   */
  async loadChange(
    table: ReplicatedTable,
    revision: number,
    address: string,
  ): Promise<void> {
    this.markNewer(table, revision, address, this.clock.getNow());
    await this.loadTable(table);
  }

  /** Asks the host at an address for all that it knows, hosts included. */
  async loadAll(address: string): Promise<void> {
    await this.loadFrom(address, REPLICATED_TABLES, true);
  }

  private markNewer(
    table: ReplicatedTable,
    revision: number,
    address: string,
    now: number,
  ): void {
    const own = this.tables[table].replica.lastChange;
    const pull = this.pulls[table];
    if (revision <= own) return;
    pull.sources.recordAnnouncement(address, revision);
    if (pull.behindSince !== undefined) return;
    pull.behindSince = now;
    if (table !== 'configuration') return;
    this.log.writeInfo('A newer change was told of.', {
      table,
      revision: formatRevision(revision),
      own: formatRevision(own),
      address,
    });
  }

  private async loadTable(table: ReplicatedTable): Promise<void> {
    const pull = this.pulls[table];
    pull.running ??= this.trySources(table, pull).finally(() => {
      pull.running = undefined;
    });
    await pull.running;
  }

  private async trySources(
    table: ReplicatedTable,
    pull: TablePull,
  ): Promise<void> {
    const {replica} = this.tables[table];
    const {sources, asked} = pull;
    for (;;) {
      const address = sources.choose(replica.lastChange, asked);
      if (address === undefined) break;
      const answer = this.trySource(table, pull, address);
      await Promise.race([answer, this.clock.wait(SECOND_SOURCE_MS)]);
      if (asked.size >= MAX_ASKED) await answer;
    }
    if (!sources.hasUpdate(replica.lastChange)) pull.behindSince = undefined;
  }

  /**
   * Each table keeps its own sources, and a host that gave no answer is none
   * any more: else the word of a lost host hides who has the change.
   */
  private async trySource(
    table: ReplicatedTable,
    {sources, asked}: TablePull,
    address: string,
  ): Promise<void> {
    const told = sources.getAnnounced(address);
    asked.add(address);
    await this.loadFrom(address, [table], false);
    asked.delete(address);
    sources.drop(address, told);
  }

  private async loadFrom(
    address: string,
    wanted: readonly ReplicatedTable[],
    withHosts: boolean,
  ): Promise<void> {
    const {tables, log, clock} = this;
    const startedAt = clock.getNow();
    const after: Partial<Record<ReplicatedTable, number>> = {};
    for (const table of wanted) {
      after[table] = getLoadAfter(tables[table].replica);
    }
    const answer = await this.source.load(address, {after, withHosts});
    if (answer.isErr()) {
      const fault = answer.error;
      const ms = Math.round(clock.getNow() - startedAt);
      const table = wanted.join(' ');
      const fields = {address, table, fault, ms};
      log.writeInfo('A host did not give its tables.', fields);
      return;
    }
    const {parts, hosts} = answer.value;
    for (const part of parts) {
      const rows = decodeTableRows(part.rows);
      const follower = tables[part.table];
      follower.applyFromHost(rows, part.revision, part.isWhole);
      // As of the question: the answer may have been long under way.
      const ageMs = clock.getNow() - startedAt + part.ageMs;
      follower.applyFreshness({
        newest: follower.replica.lastChange,
        revision: part.revision,
        ageMs,
        isScheduledPoll: false,
      });
    }
    this.acceptHosts(hosts.map((host) => ({...host, isSuspected: false})));
  }
}

function createPull(): TablePull {
  return {
    sources: new UpdateSources(),
    asked: new Set(),
    behindSince: undefined,
    running: undefined,
  };
}

/** The revision to ask changes after; -1 asks for the whole table. */
function getLoadAfter(replica: TableReplica): number {
  return replica.isLoaded ? replica.lastChange : -1;
}
