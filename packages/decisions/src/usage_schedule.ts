/**
 * Decides which window the holder of the task `usage` finalizes next, and which
 * report it sends next. Windows are finalized in order; a window that ended too
 * long ago is skipped, as the row that would prevent a second body for it may
 * have been deleted. Reports that can still arrive in time are sent before
 * those that are late, and with shorter pauses the sooner they are due.
 */
import type {TeamCounts} from './usage_counts.js';
import {computeWindow, computeWindowEnd} from './usage_window.js';

/** The final counts of a window. */
export interface FinalUsage {
  readonly window: number;
  readonly counts: TeamCounts;
}

/** The times of usage reports, in ms. */
export interface UsageTimes {
  readonly windowMs: number;
  /** How long after its end a window is finalized. */
  readonly finalizeMs: number;
  /** How long after its end the report of a window is due. */
  readonly delayMs: number;
}

/** What is to be done about a window. */
export type WindowStep =
  | {readonly kind: 'finalize'; readonly window: number}
  | {readonly kind: 'skip'; readonly window: number};

/** A window that ended this long ago is not reported for the first time. */
export const MAX_FIRST_REPORT_AGE_MS = 60_000;
/** How long the row of a window is kept, and its report repeated. */
export const WINDOW_ROW_RETENTION_MS = 11 * 60_000;
/** The pause after the first failed call, in ms; it doubles with each. */
const MIN_RETRY_PAUSE_MS = 250;
/** The longest pause between two calls, in ms. */
const MAX_RETRY_PAUSE_MS = 2000;
/**
 * The shortest pause, in ms, to which the time that a report has left shortens
 * a longer one. If the API accepts calls again a second before a report is due,
 * half a second is left for the next call; shorter pauses would only add calls
 * to a long outage.
 */
const MIN_URGENT_PAUSE_MS = 500;

/** The windows that are not finalized and the reports that are not sent. */
export class UsageSchedule {
  /** The first window that is not finalized. */
  private next: number;
  private readonly unsent = new Map<number, FinalUsage>();
  private pauseMs = MIN_RETRY_PAUSE_MS;
  private retryAt = -Infinity;

  constructor(
    private readonly times: UsageTimes,
    firstWindow: number,
  ) {
    this.next = firstWindow;
  }

  /** The first window that is not finalized. */
  get nextWindow(): number {
    return this.next;
  }

  /** The windows that are final and not known to be sent. */
  get unsentWindows(): number[] {
    return [...this.unsent.keys()];
  }

  /** Decides what is due about the next window; undefined if nothing is. */
  decideWindow(now: number): WindowStep | undefined {
    const window = this.next;
    const ageMs = now - computeWindowEnd(window, this.times.windowMs);
    if (ageMs < this.times.finalizeMs) return undefined;
    const isTooOld = ageMs > MAX_FIRST_REPORT_AGE_MS;
    return {kind: isTooOld ? 'skip' : 'finalize', window};
  }

  /** Skips to the first window that is young enough; returns their number. */
  applySkip(now: number): number {
    const {windowMs} = this.times;
    const last = computeWindow(now - MAX_FIRST_REPORT_AGE_MS, windowMs);
    const skipped = Math.max(0, last - this.next);
    this.next += skipped;
    return skipped;
  }

  /**
   * Takes a window whose row is confirmed to exist.
   *
   * @param report Undefined if the report needs no sending.
   */
  addFinal(window: number, report: FinalUsage | undefined): void {
    if (report !== undefined) this.unsent.set(window, report);
    this.next = Math.max(this.next, window + 1);
  }

  /** Chooses the report to be sent now; undefined if there is none. */
  chooseReport(now: number): FinalUsage | undefined {
    if (now < this.retryAt) return undefined;
    const windows = [...this.unsent.keys()].sort((a, b) => a - b);
    const inTime = windows.find((window) => !this.isLate(window, now));
    return this.unsent.get(inTime ?? windows[0] ?? -1);
  }

  /** Whether the report of a window is overdue. */
  isLate(window: number, now: number): boolean {
    const {windowMs, delayMs} = this.times;
    return now > computeWindowEnd(window, windowMs) + delayMs;
  }

  /** Records that the platform accepted the report of a window. */
  recordSent(window: number): void {
    this.unsent.delete(window);
    this.pauseMs = MIN_RETRY_PAUSE_MS;
    this.retryAt = -Infinity;
  }

  /** Records a failed call, after which all calls pause. */
  recordFailure(now: number): void {
    this.retryAt = now + Math.min(this.pauseMs, this.computeMaxPause(now));
    this.pauseMs = Math.min(2 * this.pauseMs, MAX_RETRY_PAUSE_MS);
  }

  /** Gives up reports whose rows are about to be deleted; returns them. */
  dropExpired(now: number): number[] {
    const {windowMs} = this.times;
    const expired = this.unsentWindows.filter(
      (window) =>
        now - computeWindowEnd(window, windowMs) > WINDOW_ROW_RETENTION_MS,
    );
    for (const window of expired) this.unsent.delete(window);
    return expired;
  }

  /** Half of the time that the next report that is due has left, in ms. */
  private computeMaxPause(now: number): number {
    const {windowMs, delayMs} = this.times;
    let maxPauseMs = Infinity;
    for (const window of this.unsent.keys()) {
      const leftMs = computeWindowEnd(window, windowMs) + delayMs - now;
      // Such a report is overdue after the shortest pause.
      if (leftMs <= MIN_URGENT_PAUSE_MS) continue;
      maxPauseMs = Math.min(maxPauseMs, leftMs / 2);
    }
    return Math.max(maxPauseMs, MIN_URGENT_PAUSE_MS);
  }
}
