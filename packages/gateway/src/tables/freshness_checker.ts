/**
 * Keeps the copies of the tables young: asks the store itself for a table that
 * no other host has vouched for in time (`copy_check.ts` of the decisions), and
 * tells the others what it showed, so that they need not ask too.
 */
import {ReplicaCheckSchedule} from '@irisdock/decisions';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {StoreStatus} from './store_status.js';
import type {StoreUpdate} from './store_update.js';
import type {Tables} from './tables.js';

/** What the checks need of the rest. */
export interface FreshnessCheckerParts {
  readonly tables: Tables;
  readonly standing: StoreStatus;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Gives the number of hosts that may check at the same time. */
  countHosts(): number;
  publish(table: ReplicatedTable, news: StoreUpdate): void;
}

/** A copy is looked at again after so long at least, in ms. */
const LEAST_LOOK_MS = 20;
/** A host that has no copy yet is about to load one; in ms. */
const LOADING_LOOK_MS = 200;

/** Checks the copies. */
export class FreshnessChecker {
  private readonly closing = new AbortController();
  /** One for all tables: a store that fails for one is not asked for the next. */
  private readonly check: ReplicaCheckSchedule;

  constructor(private readonly parts: FreshnessCheckerParts) {
    this.check = new ReplicaCheckSchedule(parts.random);
  }

  start(): void {
    for (const table of REPLICATED_TABLES) void this.run(table);
  }

  close(): void {
    this.closing.abort();
  }

  private async run(table: ReplicatedTable): Promise<void> {
    const {signal} = this.closing;
    while (!signal.aborted) {
      const delayMs = this.getDelayMs(table);
      if (delayMs === 0) {
        await this.checkCopy(table);
        continue;
      }
      const waitMs = Math.max(LEAST_LOOK_MS, delayMs);
      await this.parts.clock.wait(waitMs, signal);
    }
  }

  private getDelayMs(table: ReplicatedTable): number {
    const {clock, tables, standing} = this.parts;
    const {maxAgeMs, replica} = tables[table];
    if (!replica.isLoaded) return LOADING_LOOK_MS;
    const now = clock.getNow();
    const ageMs = standing.getAgeMs(table, now);
    const hosts = this.parts.countHosts();
    return this.check.getDelayMs(ageMs, maxAgeMs, hosts, now);
  }

  private async checkCopy(table: ReplicatedTable): Promise<void> {
    const {clock, tables, standing, log} = this.parts;
    const ageMs = Math.round(standing.getAgeMs(table, clock.getNow()));
    const news = await tables[table].pollStore();
    if (this.closing.signal.aborted) return;
    const isAnswered = news !== undefined;
    const fields = {table, ageMs, isAnswered};
    log.writeInfo('The store was asked out of turn.', fields);
    if (news === undefined) {
      this.check.recordFailure(clock.getNow());
      return;
    }
    this.check.recordSuccess();
    this.parts.publish(table, news);
  }
}
