/**
 * After the store came back from an older copy, its writers need a while to
 * write again what it lost. Until then a row that it lacks is no deleted one;
 * then the table is read once more.
 */
import {RETURN_GRACE_MS} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';

/** What settling works with. */
export interface RestoreSettlingParts {
  readonly clock: Clock;
  /** Ends it. */
  readonly signal: AbortSignal;
  /** The time after a failed read, in ms. */
  readonly retryMs: number;
  /** Reads the table whole; false when the store did not answer. */
  readonly readWhole: () => Promise<boolean>;
}

/** The settling of one table. */
export class RestoreSettling {
  private settlesAt = -Infinity;
  private running: Promise<void> | undefined;

  constructor(private readonly parts: RestoreSettlingParts) {}

  /** Whether rows may still be missing that are about to be written again. */
  isUnderWay(now: number): boolean {
    return now < this.settlesAt;
  }

  /** Starts, or starts again when the store was restored once more. */
  start(now: number): void {
    this.settlesAt = now + RETURN_GRACE_MS;
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
      if (isRead && !this.isUnderWay(clock.getNow())) return;
      await clock.wait(retryMs, signal);
    }
  }
}
