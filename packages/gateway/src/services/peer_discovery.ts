/**
 * The service `introduction`: lets hosts discover each other through the store
 * when their seeds do not answer. The few hosts that read the store also write
 * their addresses into it. A host that hears from no other for a while after
 * its start reads these addresses; from then on gossip spreads the hosts. Calls
 * to the store are costly, so a host whose seeds answer makes none. A planned
 * stop deletes the row; the row of a lost host stays until a host with that
 * name writes it again.
 */
import {
  createService,
  createServiceKey,
  REMOTE_PLACE_SCHEMA,
  Repeater,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import * as z from 'zod';
import {tryParseJson} from '../model/json_value.js';
import {RELEASE_MARK} from '../model/release_mark.js';
import type {TableStore} from '../model/table_store.js';
import {HOST_IDENTITY} from './identity.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The time between two checks, in ms; most find nothing to do. */
const CHECK_INTERVAL_MS = 1000;
/**
 * How long a host listens after its start before it calls the store, in ms;
 * seeds answer within a few heartbeats.
 */
const LISTEN_AT_START_MS = 1000;
/** The time between two reads while no other host is heard from, in ms. */
const READ_INTERVAL_MS = 2000;

const ROW_SCHEMA = z.object({tables: REMOTE_PLACE_SCHEMA});

/** Registers this host in the store and finds the others there. */
class PeerDiscovery {
  private readonly startedAt: number;
  private isRegistered = false;
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

  /** Makes this host register again, as the store may have lost the row. */
  markUnregistered(): void {
    this.isRegistered = false;
  }

  /** Registers this host and reads the others if either is due. */
  async step(): Promise<void> {
    const now = this.clock.getNow();
    if (now - this.startedAt < LISTEN_AT_START_MS) return;
    if (!this.isRegistered && this.peers.standing.isReading) {
      this.isRegistered = await this.registerHost();
      // Another group of hosts may have its own readers. As each writes before
      // it reads, at least one of two finds the other.
      await this.readOthers();
    }
    const isDue = now - this.readAt >= READ_INTERVAL_MS;
    if (isDue && !this.peers.hasHeardAny(now)) await this.readOthers();
  }

  /** Deletes this host's registration. */
  async remove(): Promise<void> {
    if (!this.isRegistered) return;
    const result = await this.store.delete('hosts', this.hostName);
    if (result.isOk()) return;
    const {kind} = result.error;
    this.log.writeInfo("Failed to delete this host's registration.", {kind});
  }

  private async registerHost(): Promise<boolean> {
    const {tables} = this.peers.place;
    const row = JSON.stringify({tables, ...RELEASE_MARK});
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
        this.log.writeWarning("Failed to decode a host's registration.", {
          host: key,
        });
        continue;
      }
      void this.peers.loadFrom(tables);
    }
  }
}

function parseRow(value: string): string | undefined {
  return ROW_SCHEMA.safeParse(tryParseJson(value)).data?.tables;
}

/** The key of the service. */
export const PEER_DISCOVERY = createServiceKey<undefined>('introduction');

/** Declares the service. */
export const PEER_DISCOVERY_SERVICE = createService({
  key: PEER_DISCOVERY,
  settings: z.object({}),
  needs: [HOST_IDENTITY, PEERS, STORE, TABLES_KEY],
  create(context) {
    const discovery = new PeerDiscovery(
      context.find(STORE),
      context.find(PEERS),
      context.find(HOST_IDENTITY).name,
      context.clock,
      context.log,
    );
    void context.find(TABLES_KEY).configuration.restored.observe(() => {
      discovery.markUnregistered();
    });
    const repeater = new Repeater(
      (signal) => context.clock.wait(CHECK_INTERVAL_MS, signal),
      () => discovery.step(),
      context.log,
    );
    return {
      api: undefined,
      start() {
        repeater.start();
        return Promise.resolve();
      },
      drain: () => discovery.remove(),
      stop: () => repeater.stop(),
    };
  },
});
