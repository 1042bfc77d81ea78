/**
 * The service `introduction`: how hosts find each other when their seeds do not
 * answer. The few hosts that read the store also write their place into it; a
 * host that hears nobody for a while after its start reads those places. From
 * then on the hosts tell each other. Each call to the store costs, so a host
 * whose seeds answer makes none. A planned stop takes the row out; the row of a
 * host that was lost stays until the host with that name writes it again.
 */
import {
  createService,
  createServiceKey,
  Repeater,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import * as z from 'zod';
import type {TableStore} from '../model/table_store.js';
import {HOST_IDENTITY} from './identity.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The time between two looks, in ms; a host that is known has nothing to do. */
const LOOK_MS = 1000;
/**
 * How long a host listens after its start before it turns to the store, in ms:
 * seeds answer within some beats.
 */
const LISTEN_MS = 1000;
/** The time between two reads of the places while nobody is heard, in ms. */
const READ_AGAIN_MS = 2000;

const ROW_SCHEMA = z.object({tables: z.string()});

/** Introduces one host. */
class PeerDiscovery {
  private readonly startedAt: number;
  private isWritten = false;
  private readAt = -Infinity;

  constructor(
    private readonly store: TableStore,
    private readonly peers: Peers,
    private readonly hostName: string,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.startedAt = clock.getNow();
  }

  /** Makes this host register again: the store may have lost the row. */
  markLost(): void {
    this.isWritten = false;
  }

  /** Does what is due. */
  async step(): Promise<void> {
    const now = this.clock.getNow();
    if (now - this.startedAt < LISTEN_MS) return;
    if (!this.isWritten && this.peers.standing.isReading) {
      this.isWritten = await this.registerHost();
      // Another group of hosts may have its own readers: of two that each
      // write and then read, one finds the other.
      await this.readOthers();
    }
    const isDue = now - this.readAt >= READ_AGAIN_MS;
    if (isDue && !this.peers.hasHeardAny(now)) await this.readOthers();
  }

  /** Deletes this host's registration. */
  async remove(): Promise<void> {
    if (!this.isWritten) return;
    const result = await this.store.delete('hosts', this.hostName);
    if (result.isOk()) return;
    const {kind} = result.error;
    this.log.writeInfo("Failed to delete this host's registration.", {kind});
  }

  private async registerHost(): Promise<boolean> {
    const {tables} = this.peers.place;
    const row = JSON.stringify({tables});
    const result = await this.store.write('hosts', this.hostName, row);
    if (result.isOk()) return true;
    const {kind} = result.error;
    this.log.writeWarning("Failed to write this host's registration.", {kind});
    return false;
  }

  private async readOthers(): Promise<void> {
    this.readAt = this.clock.getNow();
    const result = await this.store.readAll('hosts');
    if (result.isErr()) return;
    for (const {key, value} of result.value.rows) {
      if (key === this.hostName || value === undefined) continue;
      const tables = parseRow(value);
      if (tables === undefined) {
        this.log.writeWarning('A row of a host cannot be read.', {host: key});
        continue;
      }
      void this.peers.loadFrom(tables);
    }
  }
}

function parseRow(value: string): string | undefined {
  try {
    return ROW_SCHEMA.safeParse(JSON.parse(value)).data?.tables;
  } catch {
    return undefined;
  }
}

/** The key of the service. */
export const PEER_DISCOVERY = createServiceKey<undefined>('introduction');

/** Declares the service. */
export const PEER_DISCOVERY_SERVICE = createService({
  key: PEER_DISCOVERY,
  settings: z.object({}),
  needs: [HOST_IDENTITY, PEERS, STORE, TABLES_KEY],
  create(context) {
    const introduction = new PeerDiscovery(
      context.find(STORE),
      context.find(PEERS),
      context.find(HOST_IDENTITY).name,
      context.clock,
      context.log,
    );
    void context.find(TABLES_KEY).configuration.restored.observe(() => {
      introduction.markLost();
    });
    const tries = new Repeater(
      (signal) => context.clock.wait(LOOK_MS, signal),
      () => introduction.step(),
      context.log,
    );
    return {
      api: undefined,
      start() {
        tries.start();
        return Promise.resolve();
      },
      drain: () => introduction.remove(),
      stop: () => tries.stop(),
    };
  },
});
