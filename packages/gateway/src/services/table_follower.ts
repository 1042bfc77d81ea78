/**
 * Keeps a copy of one table of the store: reads it whole at first and when
 * the store has forgotten its history, then follows its changes. Other hosts
 * may bring the copy further while the store is away from this one.
 */
import {StoreContact, TableReplica, type ReplicaRow} from '@irisdock/decisions';
import {Channel, type Clock, type Logger} from '@irisdock/kernel';
import type {TableName, WatchedStore} from '../model/watched_table.js';

/** How long a failure of the store keeps this host from reading, in ms. */
const AWAY_LATELY_MS = 2500;

/**
 * How a host follows the store: itself, at ease while another one does the
 * same, or by what others tell. A loader reads the table whole once, as it has
 * no copy, and then waits until it is known who reads.
 */
export type ReaderRole = 'listener' | 'loader' | 'reader' | 'standby';

/** A standby makes so much fewer calls; it still sees each change. */
const STANDBY_FACTOR = 2;

/** Rows that were just read, and the change that they follow on. */
export interface StoreNews {
  readonly rows: readonly ReplicaRow[];
  /** The highest revision of a change before these. */
  readonly after: number;
  readonly revision: number;
}

/** How a table is followed. */
export interface FollowerOptions {
  /** How long the store may wait for a change, in ms. */
  readonly waitMs: number;
  /** The least time between two calls, in ms. */
  readonly paceMs: number;
  /** The time after a failed call, in ms. */
  readonly retryMs: number;
}

/** Follows one table. */
export class TableFollower {
  readonly replica = new TableReplica();
  readonly contact = new StoreContact();
  private readonly channel = new Channel<readonly ReplicaRow[]>();
  /** Rows that are news, in the order of their changes. */
  readonly news = this.channel.stream;
  private readonly controller = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private mustReload = true;
  private readAt = -Infinity;
  private failedAt = -Infinity;
  private role: ReaderRole = 'listener';
  private resumeReading: (() => void) | undefined;
  private readonly storeChannel = new Channel<StoreNews>();
  /** Rows that this host has just read from the store itself. */
  readonly storeNews = this.storeChannel.stream;

  constructor(
    readonly table: TableName,
    private readonly store: WatchedStore,
    private readonly options: FollowerOptions,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** How long ago the store last answered, in ms. */
  getAgeMs(now: number): number {
    return now - this.readAt;
  }

  /** Whether this host reads the store for all. */
  get isReading(): boolean {
    return this.role === 'reader' || this.role === 'standby';
  }

  /** Whether the store failed this host a moment ago. */
  isAwayLately(now: number): boolean {
    return this.contact.isAway && now - this.failedAt < AWAY_LATELY_MS;
  }

  /** Says how this host follows the store. */
  setRole(role: ReaderRole): void {
    if (role === this.role) return;
    this.role = role;
    this.log.writeInfo('Who reads the store has changed.', {
      table: this.table,
      role,
    });
    if (this.hasTurn) this.resumeReading?.();
  }

  /** Starts to follow. */
  start(): void {
    this.running = this.run();
  }

  /** Ends after the call under way, whose answer is not waited for. */
  stop(): void {
    this.controller.abort();
    this.resumeReading?.();
    this.channel.close();
    this.storeChannel.close();
  }

  /** Resolves when the follower has ended. */
  async waitStopped(): Promise<void> {
    await this.running;
  }

  /** Takes changes that another host told. */
  applyFromHost(
    rows: readonly ReplicaRow[],
    revision: number,
    isWhole: boolean,
  ): void {
    const news = isWhole
      ? this.replica.applyAll(rows, revision)
      : this.replica.applyChanges(rows, revision);
    if (isWhole) this.mustReload = false;
    this.publish(news, 'host');
  }

  /**
   * Takes news that another host has just read; ignores what has a gap. True
   * when some of it was not known.
   */
  applyNews(
    rows: readonly ReplicaRow[],
    after: number,
    revision: number,
  ): boolean {
    if (!this.replica.isLoaded || this.replica.lastChange < after) return false;
    const fresh = this.replica.applyChanges(rows, revision);
    this.publish(fresh, 'news');
    return fresh.length > 0;
  }

  private async run(): Promise<void> {
    const {signal} = this.controller;
    while (!signal.aborted) {
      await this.waitForTurn();
      const startedAt = this.clock.getNow();
      const pauseMs = await this.step();
      const leftMs = startedAt + pauseMs - this.clock.getNow();
      if (leftMs > 0) await this.clock.wait(leftMs, signal);
    }
  }

  /** Whether this host makes the next call to the store. */
  private get hasTurn(): boolean {
    if (this.role !== 'loader') return this.isReading;
    return this.mustReload || !this.replica.isLoaded;
  }

  /** Waits while other hosts read the store. */
  private async waitForTurn(): Promise<void> {
    if (this.hasTurn) return;
    await new Promise<void>((resolve) => {
      this.resumeReading = resolve;
    });
    this.resumeReading = undefined;
  }

  /** Makes one call; gives the least time from its start to the next. */
  private async step(): Promise<number> {
    const {replica, store, table, options} = this;
    const ease = this.role === 'standby' ? STANDBY_FACTOR : 1;
    const isWhole = this.mustReload || !replica.isLoaded;
    const result = isWhole
      ? await store.readAll(table)
      : await store.readChanges(table, replica.revision, options.waitMs * ease);
    const now = this.clock.getNow();
    if (this.controller.signal.aborted) return 0;
    if (result.isErr()) return this.handleError(result.error.kind, now);
    this.recordContact(now);
    const {rows, revision} = result.value;
    if (!isWhole) {
      const after = replica.lastChange;
      const news = replica.applyChanges(rows, revision);
      this.publish(news, 'store');
      if (news.length > 0) {
        this.storeChannel.post({rows: news, after, revision});
      }
      return news.length > 0 ? options.paceMs * ease : 0;
    }
    // The store may answer from a copy that lags; then it is asked again, unless
    // another host has given its whole copy since. A table is not read again
    // because changes came while it was read: with 3,000 rows over 10 Mbit/s that
    // takes a second, and where changes keep coming it would never end.
    const lags = replica.isLoaded && revision < replica.revision;
    if (!lags) this.mustReload = false;
    this.publish(replica.applyAll(rows, revision), 'store');
    return this.mustReload ? options.retryMs : 0;
  }

  private handleError(kind: string, now: number): number {
    if (kind === 'store_history_lost') {
      this.recordContact(now);
      this.mustReload = true;
      this.log.writeInfo('The store forgot its history; reading anew.', {
        table: this.table,
      });
      return 0;
    }
    if (!this.contact.isAway) {
      this.log.writeWarning('The store is away.', {table: this.table, kind});
    }
    this.contact.recordFailure(now);
    this.failedAt = now;
    return this.options.retryMs;
  }

  private recordContact(now: number): void {
    if (this.contact.isAway) {
      this.log.writeInfo('The store answers again.', {table: this.table});
    }
    this.contact.recordAnswer(now);
    this.readAt = now;
  }

  private publish(news: readonly ReplicaRow[], source: string): void {
    if (news.length === 0) return;
    this.log.writeInfo('The table changed.', {
      table: this.table,
      rows: news.length,
      revision: this.replica.revision,
      source,
    });
    this.channel.post(news);
  }
}
