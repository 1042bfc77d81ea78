/**
 * Tracks whether the store can be reached, and decides for how long an endpoint
 * stays in use after its entry has vanished from the store. Entries expire if
 * their endpoints cannot reach the store, and are back about two seconds after
 * it has recovered. Vanished entries therefore stay in use during an outage and
 * for a grace period after it. At other times they are removed at once.
 */

/** The time after an outage during which entries may be missing, in ms. */
export const RECOVERY_GRACE_MS = 2300;

/** Tracks the outages of the store. */
export class StoreReachability {
  private unreachableSince: number | undefined;
  private recoveredAt = -Infinity;

  /** Whether the last call to the store failed. */
  get isAway(): boolean {
    return this.unreachableSince !== undefined;
  }

  /** Records a call that the store answered. */
  recordSuccess(now: number): void {
    if (this.unreachableSince === undefined) return;
    this.unreachableSince = undefined;
    this.recoveredAt = now;
  }

  /** Records that the store was restored from a backup. */
  recordRestored(now: number): void {
    this.unreachableSince = undefined;
    this.recoveredAt = now;
  }

  /** Records a call that failed. */
  recordFailure(now: number): void {
    this.unreachableSince ??= now;
  }

  /** Returns for how long a vanished entry stays in use from now on, in ms. */
  getDepartureDelayMs(now: number): number {
    if (this.unreachableSince !== undefined) return Infinity;
    return Math.max(0, this.recoveredAt + RECOVERY_GRACE_MS - now);
  }
}
