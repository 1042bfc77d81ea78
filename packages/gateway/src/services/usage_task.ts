/**
 * The task `usage`: its holder finalizes the counts of each window as a row of
 * the store that is created only if there is none, and sends exactly that row
 * to the platform until it is accepted. Each renewal of the lease writes a
 * checkpoint of the windows that are not final.
 */
import type {UsageSchedule, UsageTimes} from '@irisdock/decisions';
import type {Logger} from '@irisdock/kernel';
import type {PlatformApi} from '../model/platform_api.js';
import type {
  HeldLease,
  SingletonTask,
  TaskActivity,
} from '../model/singleton_task.js';
import type {RowChange} from '../model/table_store.js';
import {
  createReportRows,
  createStateRows,
  decodeUsageReport,
  formatWindowKey,
} from '../model/usage_state.js';
import type {UsageExchange} from './usage_exchange.js';
import {UsageHistory} from './usage_history.js';
import {UsageLoader} from './usage_loader.js';
import type {UsageMetrics} from './usage_metrics.js';
import {UsageRows} from './usage_rows.js';

/**
 * How long a new holder waits for the counts of the other hosts before it
 * finalizes a window, in ms: two intervals in which hosts send changes.
 */
const SETTLE_MS = 600;
/** The pause after a row could not be written, in ms. */
const WRITE_PAUSE_MS = 500;
/** How long after the first request for counts it is repeated, in ms. */
const REPEAT_REQUEST_MS = 250;
/** The shortest time between requests when the hosts change, in ms. */
const REQUEST_INTERVAL_MS = 2000;
/**
 * The maximum number of rows that are written or deleted at once: the store
 * takes 100 entries, of which the lease and two conditions are three.
 */
const MAX_CHANGED_ROWS = 97;

/** Dependencies of the task. */
export interface UsageTaskParts {
  readonly exchange: Pick<
    UsageExchange,
    'acceptOwnCounts' | 'getTime' | 'pollCounts' | 'startWindow' | 'totals'
  >;
  readonly api: Pick<PlatformApi, 'reportUsage'>;
  readonly times: UsageTimes;
  /** Changes whenever the live hosts do. */
  readonly getHostsHash: () => number;
  readonly metrics: UsageMetrics;
  readonly log: Logger;
}

/** Reports usage while this host holds the lease. */
export class UsageTask implements SingletonTask {
  readonly name = 'usage';
  private schedule: UsageSchedule | undefined;
  private isStarted = false;
  private readonly rows = new UsageRows();
  /** Before this time no window is finalized, in ms since 1970. */
  private finalizeFrom = -Infinity;
  /** From then on the hosts have answered the request for counts. */
  private settledAt = -Infinity;
  /** Whether the totals of this tenure are marked as settled. */
  private isSettled = false;
  private requestedAt = -Infinity;
  private hostsHash: number | undefined;
  private isRequestRepeated = true;
  private readonly history: UsageHistory;
  private readonly loader: UsageLoader;

  constructor(private readonly parts: UsageTaskParts) {
    this.history = new UsageHistory(parts.times.windowMs);
    const {history, rows} = this;
    this.loader = new UsageLoader({...parts, history, rows});
  }

  /** The reports that are final and not accepted, a count. */
  get unsentCount(): number {
    return this.isStarted ? (this.schedule?.unsentWindows.length ?? 0) : 0;
  }

  async start(lease: HeldLease): Promise<boolean> {
    this.isStarted = false;
    this.history.drop();
    const loaded = await lease.load('');
    if (loaded.isErr()) {
      this.parts.log.writeWarning('The state of usage reports was not read.', {
        error: loaded.error.kind,
      });
      return false;
    }
    // Without this, a task that was stopped meanwhile would count as started.
    if (!lease.isHeld) return false;
    const known = this.schedule?.nextWindow;
    this.schedule = this.loader.load(loaded.value, lease.era, known);
    this.pollHosts(this.schedule.nextWindow);
    this.isRequestRepeated = false;
    this.isSettled = false;
    this.settledAt = this.parts.exchange.getTime() + SETTLE_MS;
    this.finalizeFrom = this.settledAt;
    this.isStarted = true;
    this.parts.log.writeInfo('This host reports usage.', {
      fence: lease.fence,
      nextWindow: this.schedule.nextWindow,
      unsent: this.schedule.unsentWindows.join(),
    });
    return true;
  }

  async step(lease: HeldLease): Promise<void> {
    const {schedule} = this;
    if (schedule === undefined || !this.isStarted) return;
    this.pollAgain(schedule.nextWindow);
    this.trySettle(schedule.nextWindow);
    await this.bindDue(lease, schedule);
    if (lease.isHeld) await this.sendDue(lease, schedule);
  }

  listRenewalChanges(): readonly RowChange[] {
    const {schedule, isStarted} = this;
    // Another holder may have written the state since this host's last tenure.
    if (schedule === undefined || !isStarted) return [];
    const {exchange} = this.parts;
    const {nextWindow: next, unsentWindows: unsent} = schedule;
    exchange.acceptOwnCounts();
    this.trySettle(next);
    // Which counts belong to lost hosts is known only once the others answered.
    if (!this.isSettled) return [];
    const checkpoint = exchange.totals.createCheckpoint(next);
    return createStateRows({era: this.loader.era, next, unsent, ...checkpoint});
  }

  getActivity(): TaskActivity {
    const windows = this.history.listWindows(this.parts.exchange.getTime());
    return {windows, orders: []};
  }

  stop(): void {
    this.isStarted = false;
    this.history.drop();
  }

  /** Marks the totals as settled once the hosts have had time to answer. */
  private trySettle(fromWindow: number): void {
    const {exchange} = this.parts;
    if (this.isSettled || exchange.getTime() < this.settledAt) return;
    this.isSettled = true;
    exchange.acceptOwnCounts();
    exchange.totals.markSettled(fromWindow);
  }

  /** Asks again as the first request may be lost, and when hosts change. */
  private pollAgain(fromWindow: number): void {
    const {exchange, getHostsHash} = this.parts;
    const elapsedMs = exchange.getTime() - this.requestedAt;
    const isRepeat = !this.isRequestRepeated && elapsedMs >= REPEAT_REQUEST_MS;
    const hasChanged = getHostsHash() !== this.hostsHash;
    const isDue = hasChanged && elapsedMs >= REQUEST_INTERVAL_MS;
    if (!isRepeat && !isDue) return;
    // The request to hosts that are new may be lost as well.
    this.isRequestRepeated = isRepeat;
    this.pollHosts(fromWindow);
  }

  private pollHosts(fromWindow: number): void {
    const {exchange, getHostsHash} = this.parts;
    this.requestedAt = exchange.getTime();
    this.hostsHash = getHostsHash();
    // The checkpoint may name hosts whose only counts are of the window that
    // became final with it. Without an answer they would count as unresponsive.
    exchange.pollCounts(fromWindow - 1);
  }

  private async bindDue(
    lease: HeldLease,
    schedule: UsageSchedule,
  ): Promise<void> {
    const {exchange, metrics, log} = this.parts;
    const now = exchange.getTime();
    if (now < this.finalizeFrom) return;
    const step = schedule.decideWindow(now);
    if (step?.kind === 'skip') {
      const count = schedule.applySkip(now);
      this.history.recordMissing(step.window, count);
      metrics.windows.inc({result: 'missing'}, count);
      const {window} = step;
      log.writeWarning('Windows were too old to be reported.', {window, count});
    }
    if (step?.kind !== 'finalize') return;
    await this.bindWindow(lease, schedule, step.window);
  }

  private async bindWindow(
    lease: HeldLease,
    schedule: UsageSchedule,
    window: number,
  ): Promise<void> {
    const {exchange, times} = this.parts;
    exchange.acceptOwnCounts();
    const counts = {...exchange.totals.computeTotals(window)};
    // The next holder sends what the row decodes to, which may lack teams.
    const text = JSON.stringify({window, counts});
    const report = decodeUsageReport(text);
    if (report.isErr()) {
      this.finalizeFrom = exchange.getTime() + WRITE_PAUSE_MS;
      const fault = report.error;
      this.parts.log.writeWarning('A window was not valid.', {window, fault});
      return;
    }
    const key = formatWindowKey(window);
    const reportRows = createReportRows(window, text);
    // The write renews the lease and so delays the next checkpoint.
    const changes = [...reportRows, ...this.listRenewalChanges()];
    const maxRows = MAX_CHANGED_ROWS - changes.length;
    const now = exchange.getTime();
    const expired = this.rows.listExpired(now, times.windowMs, maxRows);
    const deletions = expired.flatMap((one) => this.rows.listDeletions(one));
    const saved = await lease.save(
      [...changes, ...deletions],
      [{key, revision: 0}],
    );
    if (saved.isOk()) {
      this.rows.removeAll(expired);
      this.rows.add(window, reportRows.length);
      schedule.addFinal(window, report.value);
      this.history.record(window, 'unsent');
      return;
    }
    const {kind} = saved.error;
    this.finalizeFrom = exchange.getTime() + WRITE_PAUSE_MS;
    this.parts.log.writeWarning('A window was not written.', {
      window,
      error: kind,
    });
    // An earlier write without an answer may have created the row.
    if (kind === 'store_conflict') await this.readBack(lease, schedule, key);
  }

  private async readBack(
    lease: HeldLease,
    schedule: UsageSchedule,
    key: string,
  ): Promise<void> {
    if (!lease.isHeld) return;
    const loaded = await lease.load(key);
    if (loaded.isErr()) return;
    this.loader.addRows(schedule, loaded.value);
  }

  private async sendDue(
    lease: HeldLease,
    schedule: UsageSchedule,
  ): Promise<void> {
    const {exchange, api, metrics, log} = this.parts;
    for (const window of schedule.dropExpired(exchange.getTime())) {
      log.writeWarning('A report was never accepted.', {window});
    }
    const report = schedule.chooseReport(exchange.getTime());
    if (report === undefined) return;
    const {window} = report;
    const body = {window, counts: {...report.counts}};
    const outcome = await lease.sendCall((authority) =>
      api.reportUsage(authority, body),
    );
    const now = exchange.getTime();
    if (outcome.kind !== 'accepted') {
      schedule.recordFailure(now);
      if (outcome.kind === 'unanswered') {
        this.history.record(window, 'uncertain');
      }
      log.writeInfo('A usage report was not accepted.', {window, ...outcome});
      return;
    }
    const result = schedule.isLate(window, now) ? 'late' : 'sent';
    schedule.recordSent(window);
    this.loader.recordSent(window, now);
    this.history.record(window, result);
    metrics.windows.inc({result});
    log.writeInfo('A usage report was accepted.', {window, result});
  }
}
