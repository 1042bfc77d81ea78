/**
 * Asks other hosts for changes of the tables that the store does not bring:
 * when another host has told of a newer change for a while, or when this host
 * has no copy at all.
 */
import type {TableReplica} from '@irisdock/decisions';
import {getShuffled, type Logger, type Random} from '@irisdock/kernel';
import {JsonCaller} from '../channels/json_caller.js';
import type {PeerMessage} from '../model/peer_message.js';
import {
  decodeTableRows,
  PEER_TABLES_PATH,
  PEER_TABLES_SCHEMA,
} from '../model/peer_tables_message.js';
import {FOLLOWED_TABLES} from '../model/watched_table.js';
import type {Tables} from './tables.js';

/** How long a change may take to arrive before a host is asked, in ms. */
const OWN_CHANCE_MS = 250;
const LOAD_TIMEOUT_MS = 800;

/** Loads tables from other hosts. */
export class PeerTableLoader {
  private readonly caller = new JsonCaller();
  private readonly behindSince = new Map<string, number>();
  private isLoading = false;

  constructor(
    private readonly tables: Tables,
    private readonly random: Random,
    private readonly log: Logger,
  ) {}

  close(): void {
    this.caller.close();
  }

  /** Asks a host that has had a newer change for a while. */
  async loadNewer(heard: readonly PeerMessage[], now: number): Promise<void> {
    if (this.isLoading) return;
    const source = this.findNewer(heard, now);
    if (source === undefined) return;
    this.isLoading = true;
    try {
      await this.loadFrom(source.place.tables);
    } finally {
      this.isLoading = false;
    }
  }

  private findNewer(
    heard: readonly PeerMessage[],
    now: number,
  ): PeerMessage | undefined {
    let source: PeerMessage | undefined;
    for (const name of FOLLOWED_TABLES) {
      const {replica} = this.tables[name];
      const newer = getShuffled(heard, this.random).find(
        (message) => message.revisions[name] > replica.lastChange,
      );
      if (newer === undefined) {
        this.behindSince.delete(name);
        continue;
      }
      const since = this.behindSince.get(name) ?? now;
      this.behindSince.set(name, since);
      const waits = replica.isLoaded && now - since < OWN_CHANCE_MS;
      if (!waits) source = newer;
    }
    return source;
  }

  /**
   * Loads what the host at an address knows; gives where it takes datagrams,
   * undefined when it does not answer.
   */
  async loadFrom(address: string): Promise<string | undefined> {
    const {tables, log} = this;
    const {configuration, endpoints} = tables;
    const query = new URLSearchParams({
      configuration: String(getLoadAfter(configuration.replica)),
      endpoints: String(getLoadAfter(endpoints.replica)),
    });
    const answer = await this.caller.send(address, {
      method: 'GET',
      path: `${PEER_TABLES_PATH}?${query.toString()}`,
      timeoutMs: LOAD_TIMEOUT_MS,
    });
    if (answer.isErr()) {
      log.writeInfo('A host did not give its tables.', {
        address,
        fault: answer.error,
      });
      return undefined;
    }
    const parsed = PEER_TABLES_SCHEMA.safeParse(answer.value.body);
    if (!parsed.success) {
      log.writeWarning('The tables of a host cannot be read.', {
        address,
        status: answer.value.status,
      });
      return undefined;
    }
    for (const part of parsed.data.parts) {
      const rows = decodeTableRows(part.rows);
      tables[part.table].applyFromHost(rows, part.revision, part.isWhole);
    }
    return parsed.data.datagrams;
  }
}

/** The revision to ask changes after; -1 asks for the whole table. */
function getLoadAfter(replica: TableReplica): number {
  return replica.isLoaded ? replica.lastChange : -1;
}
