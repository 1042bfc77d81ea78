/**
 * Leases on runs of request contents that are suspected of crashing engines: at
 * most one run of a content holds the lease at a time. The holder renews its
 * lease while the run lasts, so the lease of a lost host expires.
 */

/** How long a lease is valid without a renewal, in ms. */
export const RUN_LEASE_MS = 1500;
/** The shortest time between two requests of a waiting run, in ms. */
const MIN_WAIT_MS = 25;
/**
 * The time per waiting run, in ms: all runs that wait for one content together
 * send at most a hundred requests per second.
 */
const WAIT_PER_WAITER_MS = 10;
/** The time without a request after which a run no longer waits, in ms. */
const WAITER_MS = 5000;

/** The answer to a request for a lease. */
export interface LeaseDecision {
  readonly isGranted: boolean;
  /** The time until the next request, in ms; 0 if the lease is granted. */
  readonly waitMs: number;
}

interface LeaseEntry {
  holder: string | undefined;
  expiresAt: number;
  /** The time of the last request, by waiting run. */
  readonly waiters: Map<string, number>;
}

/** The leases that one host grants. */
export class RunLeaseTable {
  private readonly entries = new Map<string, LeaseEntry>();

  /** The number of contents with a lease or a waiting run. */
  get size(): number {
    return this.entries.size;
  }

  /** Tells whether any run holds the lease of a content. */
  isHeld(content: string, now: number): boolean {
    const entry = this.entries.get(content);
    return entry?.holder !== undefined && now < entry.expiresAt;
  }

  /** Grants or renews the lease of a content, unless another run holds it. */
  acquire(content: string, run: string, now: number): LeaseDecision {
    const entry = this.getEntry(content);
    const isTaken = this.isHeld(content, now) && entry.holder !== run;
    if (isTaken) return this.addWaiter(content, run, now);
    entry.waiters.delete(run);
    entry.holder = run;
    entry.expiresAt = now + RUN_LEASE_MS;
    return {isGranted: true, waitMs: 0};
  }

  /** Adds a run to those that wait, without granting it the lease. */
  addWaiter(content: string, run: string, now: number): LeaseDecision {
    const {waiters} = this.getEntry(content);
    waiters.set(run, now);
    const waitMs = Math.max(MIN_WAIT_MS, waiters.size * WAIT_PER_WAITER_MS);
    return {isGranted: false, waitMs};
  }

  /** Releases the lease of a run, or removes it from those that wait. */
  release(content: string, run: string): void {
    const entry = this.entries.get(content);
    if (entry === undefined) return;
    entry.waiters.delete(run);
    if (entry.holder === run) entry.holder = undefined;
    const isIdle = entry.holder === undefined && entry.waiters.size === 0;
    if (isIdle) this.entries.delete(content);
  }

  /** Drops leases that expired and runs that stopped waiting. */
  dropExpired(now: number): void {
    for (const [content, {waiters}] of this.entries) {
      for (const [run, askedAt] of waiters) {
        if (now - askedAt > WAITER_MS) waiters.delete(run);
      }
      const isIdle = waiters.size === 0 && !this.isHeld(content, now);
      if (isIdle) this.entries.delete(content);
    }
  }

  private getEntry(content: string): LeaseEntry {
    let entry = this.entries.get(content);
    if (entry === undefined) {
      entry = {holder: undefined, expiresAt: 0, waiters: new Map()};
      this.entries.set(content, entry);
    }
    return entry;
  }
}
