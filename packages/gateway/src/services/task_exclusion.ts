/**
 * Whether this host's calls for singleton tasks fail. Its record tells the
 * other hosts, so that all choose the same candidates without it; the choice of
 * the hosts that read the store does not depend on it.
 * docs/design/singleton_tasks.md.
 */
import type {Clock} from '@irisdock/kernel';

/**
 * For how long a host whose call to the store failed is no candidate, in ms; it
 * makes no calls meanwhile that could succeed.
 */
const STORE_FAILURE_MS = 10_000;

/** Tracks for how long this host is no candidate for tasks. */
export class TaskExclusion {
  private storeFailedAt = -Infinity;
  private gaveUpUntil = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Whether this host is none of the candidates now. */
  get isExcluded(): boolean {
    const now = this.clock.getNow();
    const hasStoreFailed = now - this.storeFailedAt < STORE_FAILURE_MS;
    return hasStoreFailed || now < this.gaveUpUntil;
  }

  /** Records whether the store answered a call for a task. */
  recordStoreCall(isReached: boolean): void {
    this.storeFailedAt = isReached ? -Infinity : this.clock.getNow();
  }

  /**
   * Records that this host gave a task up, as the platform's API does not
   * answer it.
   *
   * @param excludedMs For how long it is no candidate, in ms.
   */
  recordGivenUp(excludedMs: number): void {
    this.gaveUpUntil = this.clock.getNow() + excludedMs;
  }
}
