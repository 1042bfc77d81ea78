/**
 * Shares load reports between hosts that monitor each other, so that each host
 * has to poll an endpoint itself less often. Reports are sent in batches.
 */
import type {Clock} from '@irisdock/kernel';
import type {LoadReport} from '@irisdock/endpoints';
import type {LoadHint} from '@irisdock/peer';

/** A report that has not been sent yet. */
interface PendingReport {
  readonly report: LoadReport;
  readonly at: number;
}

/** Collects reports and sends them in batches. */
export class LoadSharer {
  private readonly pending = new Map<string, PendingReport>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly batchMs: number,
    private readonly clock: Clock,
    private readonly send: (loads: readonly LoadHint[]) => void,
  ) {}

  /** Adds a report that this host received from the endpoint itself. */
  add(endpoint: string, report: LoadReport): void {
    this.pending.set(endpoint, {report, at: this.clock.getNow()});
    this.timer ??= setTimeout(() => {
      this.sendPending();
    }, this.batchMs);
  }

  /** Stops sending. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private sendPending(): void {
    this.timer = undefined;
    const now = this.clock.getNow();
    const loads = [...this.pending].map(([endpoint, {report, at}]) => ({
      endpoint,
      ...report,
      ageMs: report.ageMs + now - at,
    }));
    this.pending.clear();
    this.send(loads);
  }
}
