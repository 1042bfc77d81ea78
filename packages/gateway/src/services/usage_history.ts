/**
 * What became of the last windows of usage reports at the host that holds the
 * task, for operators. It is in memory: a new holder starts with the windows
 * that an earlier one left unsent.
 */
import {computeWindowEnd} from '@irisdock/decisions';
import type {WindowResult, WindowSummary} from '../model/singleton_task.js';

/** A minute of windows of 5 s. */
const MAX_WINDOWS = 12;

/** Keeps the results of the last windows. */
export class UsageHistory {
  private readonly results = new Map<number, WindowResult>();

  constructor(private readonly windowMs: number) {}

  /** Records the latest result of a window. */
  record(window: number, result: WindowResult): void {
    this.results.set(window, result);
    if (this.results.size <= MAX_WINDOWS) return;
    this.results.delete(Math.min(...this.results.keys()));
  }

  /** Records windows that are not reported, given the first and their number. */
  recordMissing(first: number, count: number): void {
    const from = Math.max(first, first + count - MAX_WINDOWS);
    for (let at = from; at < first + count; at++) this.record(at, 'missing');
  }

  /** Forgets all windows, as another host may report them from now on. */
  drop(): void {
    this.results.clear();
  }

  /**
   * Lists the last windows, oldest first.
   *
   * @param now The true time, in ms since 1970.
   */
  listWindows(now: number): WindowSummary[] {
    const windows = [...this.results].sort(([a], [b]) => a - b);
    return windows.map(([window, result]) => {
      const endedMs = now - computeWindowEnd(window, this.windowMs);
      return {window, result, endedMs};
    });
  }
}
