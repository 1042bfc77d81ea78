/**
 * Grace period after a restore of the store: its writers need time to write lost
 * rows again, so missing rows do not count as deleted until the table is read
 * once more at the end.
 */
import {RECOVERY_GRACE_MS} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';

/** Dependencies of the grace period. */
export interface RestoreGracePeriodParts {
  readonly clock: Clock;
  /** Aborts it. */
  readonly signal: AbortSignal;
  /** The time after a failed read, in ms. */
  readonly retryMs: number;
  /** Reads the table whole; false when the store did not answer. */
  readonly readWhole: () => Promise<boolean>;
}

/** The grace period of one table. */
export class RestoreGracePeriod {
  private settlesAt = -Infinity;
  private running: Promise<void> | undefined;

  constructor(private readonly parts: RestoreGracePeriodParts) {}

  /** Whether the grace period is under way. */
  isActive(now: number): boolean {
    return now < this.settlesAt;
  }

  /** Starts the grace period; restarts it on another restore. */
  start(now: number): void {
    this.settlesAt = now + RECOVERY_GRACE_MS;
  }

  /** Plans a whole read of the store for its end. */
  planRead(): void {
    this.running ??= this.run().finally(() => {
      this.running = undefined;
    });
  }

  async waitStopped(): Promise<void> {
    await this.running;
  }

  private async run(): Promise<void> {
    const {clock, signal, retryMs, readWhole} = this.parts;
    while (!signal.aborted) {
      const leftMs = this.settlesAt - clock.getNow();
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
