/**
 * What a host that takes the task `usage` over reads from the store: the
 * checkpoint, and the rows of final windows, of which some may not be sent yet.
 */
import {
  computeWindow,
  computeWindowEnd,
  getEra,
  UsageSchedule,
  WINDOW_ROW_RETENTION_MS,
  type UsageTimes,
} from '@irisdock/decisions';
import type {Logger} from '@irisdock/kernel';
import {findText} from '../model/row_chunks.js';
import type {TableRow} from '../model/table_store.js';
import {
  decodeUsageReport,
  decodeUsageState,
  formatWindowKey,
  splitWindowRows,
  USAGE_STATE_KEY,
  type UsageState,
} from '../model/usage_state.js';
import type {UsageExchange} from './usage_exchange.js';
import type {UsageHistory} from './usage_history.js';
import type {UsageRows} from './usage_rows.js';

/** Dependencies of the loader. */
export interface UsageLoaderParts {
  readonly exchange: Pick<UsageExchange, 'getTime' | 'startWindow' | 'totals'>;
  readonly times: UsageTimes;
  readonly history: UsageHistory;
  readonly rows: UsageRows;
  readonly log: Logger;
}

/** Reads the rows of the task. */
export class UsageLoader {
  private readonly sent = new Set<number>();
  private loadedEra = 0;
  /**
   * The window in which this process first saw that the store is an older copy.
   * Nobody reported a window from then on without a checkpoint of this era.
   */
  private eraStart: {era: number; window: number} | undefined;

  constructor(private readonly parts: UsageLoaderParts) {}

  /** The era of the store when the rows were read. */
  get era(): number {
    return this.loadedEra;
  }

  /**
   * Sets the checkpoint of the totals and creates the schedule of a tenure.
   *
   * @param rows All rows of the task.
   * @param leaseEra The era of the row of the lease.
   * @param known The first window that this process knows not to be final.
   */
  load(
    rows: readonly TableRow[],
    leaseEra: number,
    known = -Infinity,
  ): UsageSchedule {
    // There may be no rows yet, which says nothing of the era.
    const eras = rows.map(({revision}) => getEra(revision));
    this.loadedEra = Math.max(leaseEra, ...eras);
    const state = this.findState(rows);
    if (state !== undefined) this.parts.exchange.totals.setCheckpoint(state);
    return this.createSchedule(rows, state, known);
  }

  /** Adds the final windows of rows to a schedule, with unsent reports. */
  addRows(
    schedule: UsageSchedule,
    rows: readonly TableRow[],
    state?: UsageState,
  ): void {
    for (const [window, own] of splitWindowRows(rows)) {
      const text = findText(own, formatWindowKey(window));
      if (text === undefined) continue;
      this.parts.rows.add(window, own.length);
      this.addWindow(schedule, window, text, state);
    }
  }

  /** Notes that a report was accepted, at a time in ms since 1970. */
  recordSent(window: number, now: number): void {
    const {windowMs} = this.parts.times;
    this.sent.add(window);
    const oldest = now - 2 * WINDOW_ROW_RETENTION_MS;
    for (const one of this.sent) {
      if (computeWindowEnd(one, windowMs) < oldest) this.sent.delete(one);
    }
  }

  private findState(rows: readonly TableRow[]): UsageState | undefined {
    const text = findText(rows, USAGE_STATE_KEY);
    if (text === undefined) return undefined;
    const decoded = decodeUsageState(text);
    if (decoded.isOk()) return decoded.value;
    this.writeRowFault(USAGE_STATE_KEY, decoded.error);
    return undefined;
  }

  private createSchedule(
    rows: readonly TableRow[],
    state: UsageState | undefined,
    known: number,
  ): UsageSchedule {
    const {exchange, times} = this.parts;
    const {startWindow, totals} = exchange;
    const first = Math.min(
      startWindow,
      totals.findFirstWindow() ?? startWindow,
    );
    // A row that vanished with a restored store may have been reported.
    const next = Math.max(known, state?.next ?? first);
    const schedule = new UsageSchedule(
      times,
      this.isRestored(state) ? this.chooseFromNow(next) : next,
    );
    this.addRows(schedule, rows, state);
    return schedule;
  }

  /** Whether rows of windows may be missing: the store is an older copy. */
  private isRestored(state: UsageState | undefined): boolean {
    return this.era !== (state?.era ?? 0);
  }

  /**
   * Skips the windows that ended: an earlier holder may have reported them, and
   * a second body for one is worse than none.
   */
  private chooseFromNow(next: number): number {
    const {exchange, times} = this.parts;
    const {era} = this;
    if (this.eraStart?.era !== era) {
      const window = computeWindow(exchange.getTime(), times.windowMs);
      this.eraStart = {era, window};
    }
    return Math.max(next, this.eraStart.window);
  }

  private addWindow(
    schedule: UsageSchedule,
    window: number,
    text: string,
    state: UsageState | undefined,
  ): void {
    const isUnsent =
      state === undefined ||
      window >= state.next ||
      state.unsent.includes(window);
    schedule.addFinal(window, undefined);
    if (!isUnsent || this.sent.has(window)) return;
    const decoded = decodeUsageReport(text);
    if (decoded.isOk() && decoded.value.window === window) {
      schedule.addFinal(window, decoded.value);
      // An earlier holder may have sent it.
      this.parts.history.record(window, 'uncertain');
    } else {
      const fault = decoded.isErr() ? decoded.error : 'its window';
      this.writeRowFault(formatWindowKey(window), fault);
    }
  }

  private writeRowFault(key: string, fault: string): void {
    const message = 'A row of usage reports is not readable.';
    this.parts.log.writeWarning(message, {key, fault});
  }
}
