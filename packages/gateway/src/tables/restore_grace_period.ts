/**
 * The grace period after the store was restored from a backup. Writers need
 * time to write lost rows again, so missing rows do not count as deleted until
 * the table is read once more at the end of the period.
 */
import {
  RECOVERY_GRACE_MS,
  type ReplicaRow,
  type TableReplica,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';

/** Dependencies of the grace period. */
export interface RestoreGracePeriodParts {
  readonly replica: TableReplica;
  readonly clock: Clock;
  /** Ends the grace period early. */
  readonly signal: AbortSignal;
  /** The time from a failed read to the next one, in ms. */
  readonly retryMs: number;
  /** Reads the whole table; false when the store did not respond. */
  readonly readWhole: () => Promise<boolean>;
}

/** The grace period of one table. */
export class RestoreGracePeriod {
  private endsAt = -Infinity;
  private running: Promise<void> | undefined;

  constructor(private readonly parts: RestoreGracePeriodParts) {}

  /** Whether the grace period has not ended yet. */
  isActive(now: number): boolean {
    return now < this.endsAt;
  }

  /** Starts the grace period; restarts it on another restore. */
  start(now: number): void {
    this.endsAt = now + RECOVERY_GRACE_MS;
  }

  /**
   * Applies a whole table to the replica; returns the rows that changed. In the
   * grace period, missing rows are kept and deleted rows stay deleted; a read of
   * the whole table at its end settles which rows exist.
   */
  applyTable(
    rows: readonly ReplicaRow[],
    revision: number,
    source: 'host' | 'store',
  ): ReplicaRow[] {
    const {replica, clock} = this.parts;
    const isOlder = replica.isLoaded && revision < replica.revision;
    if (isOlder || !this.isActive(clock.getNow())) {
      return replica.applyAll(rows, revision);
    }
    const isUndecided =
      source === 'store' || replica.listMissing(rows, revision).length > 0;
    if (isUndecided) this.planRead();
    return replica.applyRestored(rows, revision);
  }

  /** Resolves when the scheduled read has ended. */
  async waitStopped(): Promise<void> {
    await this.running;
  }

  /** Schedules a read of the whole table for the end of the period. */
  private planRead(): void {
    this.running ??= this.run().finally(() => {
      this.running = undefined;
    });
  }

  private async run(): Promise<void> {
    const {clock, signal, retryMs, readWhole} = this.parts;
    while (!signal.aborted) {
      const leftMs = this.endsAt - clock.getNow();
      if (leftMs > 0) {
        await clock.wait(leftMs, signal);
        continue;
      }
      const isRead = await readWhole();
      if (isRead && !this.isActive(clock.getNow())) return;
      await clock.wait(retryMs, signal);
    }
  }
}
