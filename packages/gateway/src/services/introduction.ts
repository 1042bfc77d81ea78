/**
 * The service `introduction`: how hosts find each other at first. Each host
 * writes its place into the store at its start and reads the places of the
 * others; from then on the hosts tell each other. A planned stop takes the
 * row out; the row of a host that was lost stays until some host finds that
 * nobody answers there.
 */
import {
  createService,
  createServiceKey,
  Repeater,
  type Logger,
} from '@irisdock/kernel';
import {z} from 'zod';
import type {WatchedStore} from '../model/watched_table.js';
import {HOST_IDENTITY} from './identity.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';

/** The time between two tries, in ms. */
const TRY_MS = 2000;

const ROW_SCHEMA = z.object({datagrams: z.string()});

/** Introduces one host. */
class Introduction {
  private isWritten = false;
  private isRead = false;

  constructor(
    private readonly store: WatchedStore,
    private readonly peers: Peers,
    private readonly hostName: string,
    private readonly log: Logger,
  ) {}

  /** Does what is not done yet; each call is priced, so it is done once. */
  async step(): Promise<void> {
    if (!this.isWritten) await this.writeOwn();
    if (!this.isRead) await this.readOthers();
  }

  /** Takes the own row out. */
  async remove(): Promise<void> {
    if (!this.isWritten) return;
    const result = await this.store.delete('hosts', this.hostName);
    if (result.isOk()) return;
    const {kind} = result.error;
    this.log.writeInfo('The own row could not be taken out.', {kind});
  }

  private async writeOwn(): Promise<void> {
    const {datagrams} = this.peers.place;
    const row = JSON.stringify({datagrams});
    const result = await this.store.write('hosts', this.hostName, row);
    this.isWritten = result.isOk();
  }

  private async readOthers(): Promise<void> {
    const result = await this.store.readAll('hosts');
    if (result.isErr()) return;
    this.isRead = true;
    for (const {key, value} of result.value.rows) {
      if (key === this.hostName || value === undefined) continue;
      const datagrams = parseRow(value);
      if (datagrams === undefined) {
        this.log.writeWarning('A row of a host cannot be read.', {host: key});
        continue;
      }
      this.peers.addPlace(datagrams);
    }
  }
}

function parseRow(value: string): string | undefined {
  try {
    return ROW_SCHEMA.safeParse(JSON.parse(value)).data?.datagrams;
  } catch {
    return undefined;
  }
}

/** The key of the service. */
export const INTRODUCTION = createServiceKey<undefined>('introduction');

/** Declares the service. */
export const INTRODUCTION_SERVICE = createService({
  key: INTRODUCTION,
  settings: z.object({}),
  needs: [HOST_IDENTITY, PEERS, STORE],
  create(context) {
    const introduction = new Introduction(
      context.find(STORE),
      context.find(PEERS),
      context.find(HOST_IDENTITY).name,
      context.log,
    );
    const tries = new Repeater(
      (signal) => context.clock.wait(TRY_MS, signal),
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
