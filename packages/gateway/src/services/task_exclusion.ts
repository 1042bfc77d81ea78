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

  constructor(private readonly clock: Clock) {}

  /** Whether this host is none of the candidates now. */
  get isExcluded(): boolean {
    return this.clock.getNow() - this.storeFailedAt < STORE_FAILURE_MS;
  }

  /** Records whether the store answered a call for a task. */
  recordStoreCall(isReached: boolean): void {
    this.storeFailedAt = isReached ? -Infinity : this.clock.getNow();
  }
}
