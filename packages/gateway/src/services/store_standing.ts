/**
 * How this host and the others stand with the store: who of them reads it,
 * how old what they know may be, and for how long vanished entries are kept.
 */
import {chooseStoreReaders, type HeardHosts} from '@irisdock/decisions';
import type {PeerMessage} from '../model/peer_message.js';
import {FOLLOWED_TABLES} from '../model/watched_table.js';
import type {ReaderRole} from './table_follower.js';
import type {Tables} from './tables.js';

/**
 * How many hosts read the store for all. One may be cut off, one frozen or
 * stopped at the same time, and one is left.
 */
const READERS = 3;
/** By place among the readers; whoever has none listens. */
const READER_ROLES: readonly ReaderRole[] = ['reader', 'standby'];
/** Stands for "while the store is away", as JSON has no Infinity. */
const MAX_DELAY_MS = 60_000;

/** The standing. */
export class StoreStanding {
  constructor(
    private readonly hostName: string,
    private readonly tables: Tables,
    private readonly heard: HeardHosts<PeerMessage>,
  ) {}

  /** Starts or ends reading, as the hosts that are heard make it right. */
  updateReading(now: number): void {
    const candidates = [
      {name: this.hostName, isStoreAway: this.isAway(now)},
      ...this.heard.listHeard(now).map(({place, store}) => ({
        name: place.name,
        isStoreAway: store.isAway,
      })),
    ];
    const readers = chooseStoreReaders(candidates, READERS);
    const place = readers.indexOf(this.hostName);
    const role = READER_ROLES[Math.min(place, 1)] ?? 'listener';
    for (const name of FOLLOWED_TABLES) this.tables[name].setRole(role);
  }

  /** Whether this host is one of the few that read the store. */
  get isReading(): boolean {
    return this.tables.configuration.isReading;
  }

  /** Gives what other hosts are told. */
  createMessage(now: number): PeerMessage['store'] {
    const {endpoints} = this.tables;
    const delayMs = endpoints.contact.getDepartureDelay(now);
    return {
      isAway: this.isAway(now),
      configurationAgeMs: this.getConfigurationAgeMs(now),
      departureDelayMs: endpoints.isReading
        ? Math.min(MAX_DELAY_MS, delayMs)
        : null,
    };
  }

  /** How long ago the configuration was certainly the newest, in ms. */
  getConfigurationAgeMs(now: number): number {
    let age = Math.min(MAX_DELAY_MS, this.tables.configuration.getAgeMs(now));
    const known = this.tables.configuration.replica.lastChange;
    for (const {store, revisions} of this.heard.listHeard(now)) {
      // Who knows more than this host says nothing of what this host has.
      if (revisions.configuration > known) continue;
      age = Math.min(age, store.configurationAgeMs);
    }
    return age;
  }

  /**
   * For how long a vanished entry stays in use, in ms: until the store had
   * time to list it again, by the word of whoever reached the store throughout.
   */
  getDepartureDelay(now: number): number {
    const {endpoints} = this.tables;
    let delay = endpoints.isReading
      ? endpoints.contact.getDepartureDelay(now)
      : undefined;
    for (const {store} of this.heard.listHeard(now)) {
      const told = store.departureDelayMs;
      if (told !== null) delay = Math.min(delay ?? Infinity, told);
    }
    return delay ?? 0;
  }

  private isAway(now: number): boolean {
    return FOLLOWED_TABLES.some((name) => this.tables[name].isAwayLately(now));
  }
}
