/**
 * Bounds the age of this host's table replicas. When no other host has
 * confirmed a replica as current within its maximum age, this host polls the
 * store itself (`ReplicaCheckSchedule` decides when) and sends the result to
 * the other hosts, so that they need not poll too.
 */
import {ReplicaCheckSchedule} from '@irisdock/decisions';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {REPLICATED_TABLES, type ReplicatedTable} from '../model/table_store.js';
import type {StoreStatus} from './store_status.js';
import type {StoreUpdate} from './store_update.js';
import type {Tables} from './tables.js';

/** Dependencies of the checker. */
export interface FreshnessCheckerParts {
  readonly tables: Tables;
  readonly standing: StoreStatus;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Gives the number of hosts that may poll the store at the same time. */
  countHosts(): number;
  /** Sends what the store returned to the other hosts. */
  publish(table: ReplicatedTable, update: StoreUpdate): void;
}

/** The least time until a replica's age is checked again, in ms. */
const MIN_RECHECK_MS = 20;
/** The time until the next check while the replica is being loaded, in ms. */
const LOADING_RECHECK_MS = 200;

/** Polls the store for replicas that no host has confirmed in time. */
export class FreshnessChecker {
  private readonly closing = new AbortController();
  /** Shared by all tables: a failure for one delays polls for the others. */
  private readonly schedule: ReplicaCheckSchedule;

  constructor(private readonly parts: FreshnessCheckerParts) {
    this.schedule = new ReplicaCheckSchedule(parts.random);
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
        await this.checkReplica(table);
        continue;
      }
      const waitMs = Math.max(MIN_RECHECK_MS, delayMs);
      await this.parts.clock.wait(waitMs, signal);
    }
  }

  private getDelayMs(table: ReplicatedTable): number {
    const {clock, tables, standing} = this.parts;
    const {maxAgeMs, replica} = tables[table];
    if (!replica.isLoaded) return LOADING_RECHECK_MS;
    const now = clock.getNow();
    const ageMs = standing.getAgeMs(table, now);
    const hosts = this.parts.countHosts();
    return this.schedule.getDelayMs(ageMs, maxAgeMs, hosts, now);
  }

  private async checkReplica(table: ReplicatedTable): Promise<void> {
    const {clock, tables, standing, log} = this.parts;
    const ageMs = Math.round(standing.getAgeMs(table, clock.getNow()));
    const update = await tables[table].pollStore();
    if (this.closing.signal.aborted) return;
    const isAnswered = update !== undefined;
    const fields = {table, ageMs, isAnswered};
    log.writeInfo('Polled the store for an unconfirmed replica.', fields);
    if (update === undefined) {
      this.schedule.recordFailure(clock.getNow());
      return;
    }
    this.schedule.recordSuccess();
    this.parts.publish(table, update);
  }
}
