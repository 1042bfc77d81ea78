/**
 * Keeps a copy of one table of the store: reads it whole at first and when
 * the store has forgotten its history, then follows its changes. Other hosts
 * may bring the copy further while the store is away from this one.
 */
import {
  ReplicaAge,
  getEra,
  PollStagger,
  StoreReachability,
  TableReplica,
  type ReaderRank,
  type ReplicaRow,
} from '@irisdock/decisions';
import {Channel, type Clock, type Logger} from '@irisdock/kernel';
import type {FollowerOptions} from './follower_options.js';
import {RestoreGracePeriod} from './restore_grace_period.js';
import {TableLog} from './table_log.js';
import {
  isSameRole,
  type ReaderRole,
  type StoreUpdate,
  type TableFreshnessReport,
} from './store_update.js';
import type {TableName, TableRows, TableStore} from '../model/table_store.js';

/** How long a failure of the store keeps this host from reading, in ms. */
const AWAY_LATELY_MS = 2500;

/** All but the first reader make so much fewer calls while changes come. */
const STANDBY_FACTOR = 2;
/** Stands for a host that reads for nobody else. */
const ALONE: ReaderRank = {rank: 0, count: 1};

/** Follows one table. */
export class TableFollower {
  readonly replica = new TableReplica();
  readonly contact = new StoreReachability();
  private readonly age = new ReplicaAge();
  private readonly channel = new Channel<readonly ReplicaRow[]>();
  /** Rows that are news, in the order of their changes. */
  readonly changes = this.channel.stream;
  private readonly controller = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private mustReload = true;
  private failedAt = -Infinity;
  private readonly settling: RestoreGracePeriod;
  private readonly report: TableLog;
  private role: ReaderRole = 'listener';
  private resumeReading: (() => void) | undefined;
  private readonly turns: PollStagger;
  private readonly storeChannel = new Channel<StoreUpdate>();
  /** What this host has just read from the store itself. */
  readonly storeUpdates = this.storeChannel.stream;

  private readonly restoredChannel = new Channel<undefined>();
  /** Emits when a read shows that the store was restored. */
  readonly restored = this.restoredChannel.stream;

  constructor(
    readonly table: TableName,
    private readonly store: TableStore,
    private readonly options: FollowerOptions,
    private readonly clock: Clock,
    log: Logger,
  ) {
    this.report = new TableLog(table, log);
    this.turns = new PollStagger(options.waitMs);
    this.settling = new RestoreGracePeriod({
      clock,
      signal: this.controller.signal,
      retryMs: options.retryMs,
      readWhole: () => this.readSettled(),
    });
  }

  /** How long ago the copy was certainly the newest, in ms. */
  getAgeMs(now: number): number {
    return this.age.getAgeMs(now);
  }

  /** The age from which this host asks the store itself, in ms. */
  get maxAgeMs(): number {
    return this.options.maxAgeMs;
  }

  /** Whether this host reads the store for all. */
  get isReading(): boolean {
    return typeof this.role === 'object';
  }

  /** Whether the store failed this host a moment ago. */
  hasStoreFailedRecently(now: number): boolean {
    return this.contact.isAway && now - this.failedAt < AWAY_LATELY_MS;
  }

  /** Says how this host follows the store. */
  setRole(role: ReaderRole): void {
    if (isSameRole(role, this.role)) return;
    this.role = role;
    this.turns.startCycle(0);
    this.report.writeRole(role);
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
    this.restoredChannel.close();
  }

  /** Resolves when the follower has ended. */
  async waitStopped(): Promise<void> {
    await this.running;
    await this.settling.waitStopped();
  }

  /** Takes changes that another host told. */
  applyFromHost(
    rows: readonly ReplicaRow[],
    revision: number,
    isWhole: boolean,
  ): void {
    if (isWhole) this.mustReload = false;
    this.apply(revision, 'host', () =>
      isWhole
        ? this.applyTable(rows, revision, 'host')
        : this.replica.applyChanges(rows, revision),
    );
  }

  /**
   * Takes it that another host vouches for a change as the newest one.
   *
   * @returns Whether it made this copy younger.
   */
  applyFreshness({
    newest,
    revision,
    ageMs,
    isScheduledPoll,
  }: TableFreshnessReport): boolean {
    const {replica} = this;
    if (!replica.isLoaded) return false;
    const at = this.clock.getNow() - ageMs;
    if (isScheduledPoll) this.turns.recordPeerAnswer(at);
    const isYounger = this.age.acceptReport(
      {latestRevision: newest, at},
      replica.lastChange,
    );
    if (newest > replica.lastChange) return false;
    // Nothing is missing up to there, so no history is needed before it.
    this.apply(revision, 'host', () => replica.applyChanges([], revision));
    if (isYounger) this.mustReload = false;
    return isYounger;
  }

  /**
   * Asks the store at once whether the copy is the newest, whoever reads it; a
   * call that waits for changes goes on, as it may never be answered.
   *
   * @returns What the store showed; undefined when it gave no answer.
   */
  async pollStore(): Promise<StoreUpdate | undefined> {
    const {replica, store, table} = this;
    const {signal} = this.controller;
    if (!replica.isLoaded || this.mustReload) return undefined;
    const changes = await store.readChanges(table, replica.revision, 0);
    if (signal.aborted) return undefined;
    if (changes.isOk()) return this.applyRead(changes.value, 'poll');
    if (changes.error.kind !== 'store_history_lost') return undefined;
    const whole = await store.readAll(table);
    if (whole.isErr()) return undefined;
    this.applyWhole(whole.value);
    const {lastChange: newest, revision} = replica;
    return {rows: [], after: newest, newest, revision};
  }

  /**
   * Takes news that another host has just read; ignores what has a gap. True
   * when some of it was not known.
   */
  applyUpdate(
    rows: readonly ReplicaRow[],
    after: number,
    revision: number,
  ): boolean {
    if (!this.replica.isLoaded || this.replica.lastChange < after) return false;
    return this.apply(revision, 'news', () =>
      this.replica.applyChanges(rows, revision),
    );
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
    const {replica, store, table} = this;
    const isWhole = this.mustReload || !replica.isLoaded;
    const startedAt = this.clock.getNow();
    const place = typeof this.role === 'object' ? this.role : ALONE;
    const waitMs = isWhole ? 0 : this.turns.takePollWaitMs(place, startedAt);
    const result = isWhole
      ? await store.readAll(table)
      : await store.readChanges(table, replica.revision, waitMs);
    const now = this.clock.getNow();
    if (this.controller.signal.aborted) return 0;
    if (result.isErr()) return this.handleError(result.error.kind, now);
    this.recordContact(now);
    if (isWhole) return this.applyWhole(result.value);
    const news = this.applyRead(result.value, 'store');
    // A call that began while this host had a place may be answered later.
    if (this.isReading || news.rows.length > 0) this.storeChannel.post(news);
    const hasChanged = result.value.rows.length > 0;
    // Also when another reader told of it first: all were answered at once.
    if (hasChanged) this.turns.startCycle(this.paceMs);
    // A store that does not wait as it was asked to is not asked all the time.
    const hasWaited = now - startedAt >= waitMs / 2;
    return hasChanged || !hasWaited ? this.paceMs : 0;
  }

  /** The least time between two calls while changes come, in ms. */
  private get paceMs(): number {
    const {role, options} = this;
    const isFirst = typeof role !== 'object' || role.rank === 0;
    return isFirst ? options.paceMs : options.paceMs * STANDBY_FACTOR;
  }

  /** Takes changes that the store has shown. */
  private applyRead({rows, revision}: TableRows, source: string): StoreUpdate {
    const {replica} = this;
    const after = replica.lastChange;
    // Rows with the value that they had are told too: the next change follows
    // on their revision, and would find a gap at all other hosts.
    const taken = rows.filter((row) => row.revision > after);
    this.apply(revision, source, () => replica.applyChanges(rows, revision));
    this.age.recordStoreRead(this.clock.getNow());
    return {rows: taken, after, newest: replica.lastChange, revision};
  }

  private applyWhole({rows, revision}: TableRows): number {
    const {replica} = this;
    // A store that lags is asked again, unless another host gave its copy since.
    // Changes during the read are no reason: where they keep coming, it never ends.
    const lags = replica.isLoaded && revision < replica.revision;
    if (lags) this.report.writeStaleRead(revision, replica.revision);
    else this.mustReload = false;
    const isRestored = this.isFirstOfEra(revision);
    this.apply(revision, 'store', () =>
      this.applyTable(rows, revision, 'store'),
    );
    if (!lags) this.age.recordStoreRead(this.clock.getNow());
    if (isRestored) this.publishNewest();
    return this.mustReload ? this.options.retryMs : 0;
  }

  /**
   * Applies a whole table. In the grace period after a restore missing rows are kept
   * and deleted rows stay deleted; a whole read of the store at its end decides.
   */
  private applyTable(
    rows: readonly ReplicaRow[],
    revision: number,
    source: 'host' | 'store',
  ): ReplicaRow[] {
    const {replica, settling, clock} = this;
    const isOlder = replica.isLoaded && revision < replica.revision;
    if (isOlder || !settling.isActive(clock.getNow())) {
      return replica.applyAll(rows, revision);
    }
    const isUndecided =
      source === 'store' || replica.listMissing(rows, revision).length > 0;
    if (isUndecided) settling.planRead();
    return replica.applyRestored(rows, revision);
  }

  /** Whether a revision is the first one known here of a restored store. */
  private isFirstOfEra(revision: number): boolean {
    const {replica} = this;
    return replica.isLoaded && getEra(revision) > getEra(replica.revision);
  }

  /**
   * Applies rows or a revision; true when something changed. The first revision of a
   * restored store starts the grace period, whatever its source.
   */
  private apply(
    revision: number,
    source: string,
    change: () => readonly ReplicaRow[],
  ): boolean {
    const isRestored = this.isFirstOfEra(revision);
    if (isRestored) {
      const now = this.clock.getNow();
      this.report.writeRestored(revision, this.replica.revision, source);
      this.contact.recordRestored(now);
      this.settling.start(now);
    }
    const changed = change();
    this.publish(changed, source);
    if (isRestored) this.restoredChannel.post(undefined);
    return changed.length > 0;
  }

  /** Reads the table whole; false when the store did not answer. */
  private async readSettled(): Promise<boolean> {
    const {replica, store, table} = this;
    const whole = await store.readAll(table);
    if (whole.isErr() || this.controller.signal.aborted) return false;
    const {rows, revision} = whole.value;
    if (getEra(revision) !== getEra(replica.revision)) {
      this.applyWhole(whole.value);
      return false;
    }
    this.publish(replica.applySettled(rows, revision), 'store');
    this.publishNewest();
    return true;
  }

  /** Announces the newest change to other hosts, which fetch what they lack. */
  private publishNewest(): void {
    const {lastChange: newest, revision} = this.replica;
    this.storeChannel.post({rows: [], after: newest, newest, revision});
  }

  private handleError(kind: string, now: number): number {
    if (kind === 'store_history_lost') {
      this.recordContact(now);
      this.mustReload = true;
      this.report.writeHistoryLost();
      return 0;
    }
    if (!this.contact.isAway) this.report.writeUnavailable(kind);
    this.contact.recordFailure(now);
    this.failedAt = now;
    this.turns.startCycle(0);
    return this.options.retryMs;
  }

  private recordContact(now: number): void {
    if (this.contact.isAway) this.report.writeAvailable();
    this.contact.recordSuccess(now);
  }

  private publish(news: readonly ReplicaRow[], source: string): void {
    this.age.recordRevision(this.replica.lastChange);
    if (news.length === 0) return;
    this.report.writeChanged(news.length, this.replica.revision, source);
    this.channel.post(news);
  }
}
