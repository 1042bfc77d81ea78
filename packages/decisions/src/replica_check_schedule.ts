/**
 * Decides when a host checks with the store itself whether its replica of a
 * table is up to date. Normally a few hosts read the store for all, and their
 * reports keep the age of every replica low. If they fail, each host checks a
 * replica that has not been confirmed in time, so that committed changes take
 * effect in time on every host that can reach the store.
 */
import type {Random} from '@irisdock/kernel';

/**
 * Checks are spread randomly over a period that grows with the number of hosts,
 * so that one of them can report the result to all before most have asked.
 */
const SPREAD_MS_PER_HOST = 20;
const MAX_SPREAD_MS = 250;
/** The delay after a failure; it grows by a factor with each further one. */
const FIRST_PAUSE_MS = 300;
const PAUSE_GROWTH = 3;
const MAX_PAUSE_MS = 3000;
/** Delays are random between this share of their length and all of it. */
const MIN_PAUSE_SHARE = 0.5;
/** The number of distinct random values. */
const RANDOM_STEPS = 1000;

/** Decides when the replicas of a host are checked. */
export class ReplicaCheckSchedule {
  /** Failed checks since the last successful one. */
  private failures = 0;
  private pausedUntil = -Infinity;
  /** The random position of this host's check in the spread, from 0 to 1. */
  private spreadPosition: number;

  constructor(private readonly random: Random) {
    this.spreadPosition = this.chooseFraction();
  }

  /**
   * Returns the delay until the replica has to be checked, in ms; 0 for now.
   *
   * @param ageMs How long ago the replica was certainly up to date.
   * @param maxAgeMs The age from which it is checked.
   * @param hostCount The number of hosts that may check at the same time.
   */
  getDelayMs(
    ageMs: number,
    maxAgeMs: number,
    hostCount: number,
    now: number,
  ): number {
    const spreadMs = Math.min(MAX_SPREAD_MS, SPREAD_MS_PER_HOST * hostCount);
    const dueMs = maxAgeMs + this.spreadPosition * spreadMs - ageMs;
    return Math.max(0, dueMs, this.pausedUntil - now);
  }

  /** Records that the store answered a check. */
  recordSuccess(): void {
    this.failures = 0;
    this.spreadPosition = this.chooseFraction();
  }

  /** Records that the store did not answer a check. */
  recordFailure(now: number): void {
    const pauseMs = Math.min(
      MAX_PAUSE_MS,
      FIRST_PAUSE_MS * PAUSE_GROWTH ** this.failures,
    );
    this.failures++;
    this.spreadPosition = this.chooseFraction();
    const share =
      MIN_PAUSE_SHARE + this.chooseFraction() * (1 - MIN_PAUSE_SHARE);
    this.pausedUntil = now + pauseMs * share;
  }

  /** Chooses a random number from 0 to below 1. */
  private chooseFraction(): number {
    return this.random.getInt(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
