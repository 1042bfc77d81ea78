/**
 * Loads table rows from other hosts: changes that another host has announced
 * but that were not received by broadcast, and, after a start, all tables
 * together with the list of hosts.
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

/** How long to wait for a change's broadcast before requesting it, in ms. */
const BROADCAST_GRACE_MS = 250;
/**
 * How long a host may take to respond before a second one is asked too, in ms.
 * A live host responds in a few ms; an unreachable one would delay the change.
 */
const SECOND_SOURCE_DELAY_MS = 100;
/** Hosts that are asked for one table at the same time. */
const MAX_CONCURRENT_SOURCES = 2;

/** The state of loading one table. */
interface TableLoad {
  readonly sources: UpdateSources;
  /** The addresses whose responses are awaited. */
  readonly pending: Set<string>;
  /** When a change that is missing here was first reported. */
  behindSince: number | undefined;
  running: Promise<void> | undefined;
}

/** Where a host is that loads from the nearest ones. */
export type NearPlace = Pick<PeerLocation, 'failureDomain' | 'tables'>;

interface LoadOutcome {
  /** Whether any table came. */
  readonly isLoaded: boolean;
  /** The addresses to load from instead. */
  readonly nearer: readonly string[];
}

/** Loads tables from other hosts. */
export class PeerTableLoader {
  private readonly loads: Readonly<Record<ReplicatedTable, TableLoad>>;

  /** @param isNear Whether the host at an address is in the own region. */
  constructor(
    private readonly tables: Tables,
    private readonly source: PeerTableSource,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly acceptHosts: (
      updates: readonly HostUpdate<PeerLocation>[],
    ) => void,
    isNear: (address: string) => boolean = () => true,
  ) {
    this.loads = {
      configuration: createLoad(isNear),
      endpoints: createLoad(isNear),
      crashes: createLoad(isNear),
      versions: createLoad(isNear),
    };
  }

  close(): void {
    this.source.close();
  }

  /** Lists, by table, the newest change in this host's replica. */
  listRevisions(): TableRevisions {
    const {configuration, endpoints, crashes, versions} = this.tables;
    return {
      configuration: configuration.replica.lastChange,
      endpoints: endpoints.replica.lastChange,
      crashes: crashes.replica.lastChange,
      versions: versions.replica.lastChange,
    };
  }

  /**
   * Records the newest changes that the host at an address has.
   *
   * @param isStarting Whether that host may lack tables itself.
   */
  recordRevisions(
    revisions: TableRevisions,
    address: string,
    now: number,
    isStarting = false,
  ): void {
    for (const table of REPLICATED_TABLES) {
      // Also the revision of an empty table.
      if (isStarting && revisions[table] === 0) continue;
      this.recordNewer(table, revisions[table], address, now);
    }
  }

  /** Loads changes that were reported but not received in the grace time. */
  loadNewer(now: number): void {
    for (const table of REPLICATED_TABLES) {
      const {behindSince = now} = this.loads[table];
      const {isLoaded} = this.tables[table].replica;
      const isWaiting = isLoaded && now - behindSince < BROADCAST_GRACE_MS;
      if (!isWaiting) void this.loadTable(table);
    }
  }

  /**
   * Loads a change at once, which the host at an address has; resolves when it
   * is loaded or no host is left to ask.
   */
  async loadChange(
    table: ReplicatedTable,
    revision: number,
    address: string,
  ): Promise<void> {
    this.recordNewer(table, revision, address, this.clock.getNow());
    await this.loadTable(table);
  }

  /** Loads all tables and the list of hosts from the host at an address. */
  async loadAll(address: string): Promise<void> {
    await this.loadFrom(address, REPLICATED_TABLES, true);
  }

  /**
   * Loads the same, but from a host of this host's region if the one at the
   * address is elsewhere and names any; from that one if they do not respond.
   */
  async loadNearest(address: string, own: NearPlace): Promise<void> {
    const domain = own.failureDomain;
    const first = await this.loadFrom(address, REPLICATED_TABLES, true, domain);
    if (first.nearer.length === 0) return;
    for (const nearer of first.nearer) {
      // Others may not know yet that this host was lost and starts anew.
      if (nearer === own.tables) continue;
      const response = this.loadFrom(nearer, REPLICATED_TABLES, true);
      const wait = this.clock.wait(SECOND_SOURCE_DELAY_MS);
      const outcome = await Promise.race([response, wait]);
      if (outcome?.isLoaded === true) return;
    }
    await this.loadAll(address);
  }

  private recordNewer(
    table: ReplicatedTable,
    revision: number,
    address: string,
    now: number,
  ): void {
    const own = getStartRevision(this.tables[table].replica);
    const load = this.loads[table];
    if (revision <= own) return;
    load.sources.recordAnnouncement(address, revision);
    if (load.behindSince !== undefined) return;
    load.behindSince = now;
    if (table !== 'configuration') return;
    this.log.writeInfo('A host reported a newer change.', {
      table,
      revision: formatRevision(revision),
      own: formatRevision(Math.max(0, own)),
      address,
    });
  }

  private async loadTable(table: ReplicatedTable): Promise<void> {
    const load = this.loads[table];
    load.running ??= this.trySources(table, load).finally(() => {
      load.running = undefined;
    });
    await load.running;
  }

  private async trySources(
    table: ReplicatedTable,
    load: TableLoad,
  ): Promise<void> {
    const {replica} = this.tables[table];
    const {sources, pending} = load;
    for (;;) {
      const address = sources.choose(getStartRevision(replica), pending);
      if (address === undefined) break;
      const response = this.trySource(table, load, address);
      await Promise.race([response, this.clock.wait(SECOND_SOURCE_DELAY_MS)]);
      if (pending.size >= MAX_CONCURRENT_SOURCES) await response;
    }
    if (sources.hasUpdate(getStartRevision(replica))) return;
    load.behindSince = undefined;
  }

  /**
   * Loads a table from one host, which is then dropped as a source of this
   * table until it reports a newer revision. Otherwise a lost host that
   * reported a high revision would be asked again and again, in place of hosts
   * that can respond.
   */
  private async trySource(
    table: ReplicatedTable,
    {sources, pending}: TableLoad,
    address: string,
  ): Promise<void> {
    const reported = sources.getAnnounced(address);
    pending.add(address);
    await this.loadFrom(address, [table], false);
    pending.delete(address);
    sources.drop(address, reported);
  }

  private async loadFrom(
    address: string,
    requested: readonly ReplicatedTable[],
    withHosts: boolean,
    domain?: string,
  ): Promise<LoadOutcome> {
    const {tables, log, clock} = this;
    const startedAt = clock.getNow();
    const after: Partial<Record<ReplicatedTable, number>> = {};
    for (const table of requested) {
      after[table] = getStartRevision(tables[table].replica);
    }
    const request = {after, withHosts, ...(domain ? {domain} : {})};
    const response = await this.source.load(address, request);
    if (response.isErr()) {
      const fault = response.error;
      const ms = Math.round(clock.getNow() - startedAt);
      const table = requested.join(' ');
      const fields = {address, table, fault, ms};
      log.writeInfo('Loading tables from a host failed.', fields);
      return {isLoaded: false, nearer: []};
    }
    const {parts, hosts, nearer = []} = response.value;
    for (const part of parts) {
      const rows = decodeTableRows(part.rows);
      const follower = tables[part.table];
      // Known when the rows are applied.
      follower.confirmations.acceptLastReady(part.lastReady ?? []);
      follower.applyFromHost(rows, part.revision, part.isWhole);
      // Counted from the request: the response may have taken long to arrive.
      const ageMs = clock.getNow() - startedAt + part.ageMs;
      follower.applyFreshness({
        newest: follower.replica.lastChange,
        revision: part.revision,
        ageMs,
        isScheduledPoll: false,
      });
    }
    this.acceptHosts(hosts.map((host) => ({...host, isSuspected: false})));
    return {isLoaded: parts.length > 0, nearer};
  }
}

function createLoad(isNear: (address: string) => boolean): TableLoad {
  return {
    sources: new UpdateSources(isNear),
    pending: new Set(),
    behindSince: undefined,
    running: undefined,
  };
}

/** The revision after which changes are requested; -1 for the whole table. */
function getStartRevision(replica: TableReplica): number {
  return replica.isLoaded ? replica.lastChange : -1;
}
