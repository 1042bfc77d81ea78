/**
 * When a host asks the store itself whether its copy of a table is still the
 * newest. Usually a few hosts read for all, and their word keeps every copy
 * young. Whatever befalls them, a copy that nobody has vouched for in time is
 * checked by its own host, so that what was confirmed is in force in time on
 * every host that the store answers.
 */
import type {Random} from '@irisdock/kernel';

/**
 * Hosts turn to the store at moments drawn from so much time for each of them,
 * so that one has the answer for all before most have asked; both in ms.
 */
const SPREAD_MS_PER_HOST = 20;
const MAX_SPREAD_MS = 250;
/** After failures in a row: the first and the longest pause, in ms. */
const FIRST_PAUSE_MS = 300;
const PAUSE_GROWTH = 3;
const MAX_PAUSE_MS = 3000;
/** Pauses are drawn from this part of their length up. */
const LEAST_PAUSE_PART = 0.5;
const PARTS = 1000;

/** Decides when the copies of a host are checked. */
export class ReplicaCheckSchedule {
  private failures = 0;
  private pausedUntil = -Infinity;
  /** The place of this host among those that check, from 0 to 1. */
  private drawn: number;

  constructor(private readonly random: Random) {
    this.drawn = this.chooseMoment();
  }

  /**
   * Gives how long from now the copy is checked, in ms; 0 for at once.
   *
   * @param ageMs How long ago the copy was certainly the newest.
   * @param maxAgeMs The age from which it is checked.
   * @param hostCount The hosts that may check at the same time.
   */
  getDelayMs(
    ageMs: number,
    maxAgeMs: number,
    hostCount: number,
    now: number,
  ): number {
    const spreadMs = Math.min(MAX_SPREAD_MS, SPREAD_MS_PER_HOST * hostCount);
    const dueMs = maxAgeMs + this.drawn * spreadMs - ageMs;
    return Math.max(0, dueMs, this.pausedUntil - now);
  }

  /** Takes it that the store has answered. */
  recordSuccess(): void {
    this.failures = 0;
    this.drawn = this.chooseMoment();
  }

  /** Takes it that the store did not answer. */
  recordFailure(now: number): void {
    const pauseMs = Math.min(
      MAX_PAUSE_MS,
      FIRST_PAUSE_MS * PAUSE_GROWTH ** this.failures,
    );
    this.failures++;
    this.drawn = this.chooseMoment();
    const part =
      LEAST_PAUSE_PART + this.chooseMoment() * (1 - LEAST_PAUSE_PART);
    this.pausedUntil = now + pauseMs * part;
  }

  private chooseMoment(): number {
    return this.random.getInt(PARTS) / PARTS;
  }
}
