/**
 * Confirms replicas by a read of the store that begins after the request for
 * it. Concurrent requests share a read, and reads have a minimum interval, so
 * that many resumed streams cause few calls.
 */
import type {Clock, Logger} from '@irisdock/kernel';

/** The minimum time between the beginnings of two reads, in ms. */
const MIN_INTERVAL_MS = 100;
/** How long a request waits for its read, in ms. */
const MAX_WAIT_MS = 500;

/** Dependencies of the confirmation. */
export interface StoreConfirmationParts {
  /** Reads what changed; false if the store did not respond. */
  readonly read: () => Promise<boolean>;
  /** Whether calls to the store are likely to fail. */
  readonly isStoreAway: (now: number) => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Confirms replicas on request. */
export class StoreConfirmation {
  /** A read that has not begun. */
  private next: Promise<boolean> | undefined;
  /** The read that began last. */
  private last: Promise<boolean> = Promise.resolve(true);
  private startedAt = -Infinity;

  constructor(private readonly parts: StoreConfirmationParts) {}

  /** Whether the store was read after the call, within a bounded time. */
  async run(): Promise<boolean> {
    const {clock, isStoreAway, log} = this.parts;
    const now = clock.getNow();
    if (isStoreAway(now)) return false;
    this.next ??= this.startNext();
    const done = new AbortController();
    const isRead = await Promise.race([
      this.next,
      clock.wait(MAX_WAIT_MS, done.signal).then(() => false),
    ]);
    done.abort();
    const ms = Math.round(clock.getNow() - now);
    log.writeInfo('Read the store to confirm the history of versions.', {
      isRead,
      ms,
    });
    return isRead;
  }

  private async startNext(): Promise<boolean> {
    const {clock, read} = this.parts;
    await this.last;
    const leftMs = this.startedAt + MIN_INTERVAL_MS - clock.getNow();
    if (leftMs > 0) await clock.wait(leftMs);
    this.startedAt = clock.getNow();
    this.last = read();
    this.next = undefined;
    return this.last;
  }
}
