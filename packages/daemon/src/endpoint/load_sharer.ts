/**
 * Shares load reports between the hosts that watch each other, so that each
 * host asks an endpoint itself only now and then. Reports are gathered for a
 * while and sent in one message.
 */
import type {Clock} from '@irisdock/kernel';
import type {LoadReport} from '@irisdock/endpoints';
import type {LoadHint} from '@irisdock/peer';

interface Gathered {
  readonly report: LoadReport;
  readonly at: number;
}

/** Gathers reports and hands them on. */
export class LoadSharer {
  private readonly gathered = new Map<string, Gathered>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly gatherMs: number,
    private readonly clock: Clock,
    private readonly send: (loads: readonly LoadHint[]) => void,
  ) {}

  /** Adds a report that this host got itself. */
  add(endpoint: string, report: LoadReport): void {
    this.gathered.set(endpoint, {report, at: this.clock.getNow()});
    this.timer ??= setTimeout(() => {
      this.sendGathered();
    }, this.gatherMs);
  }

  /** Sends nothing more. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private sendGathered(): void {
    this.timer = undefined;
    const now = this.clock.getNow();
    const loads = [...this.gathered].map(([endpoint, {report, at}]) => ({
      endpoint,
      ...report,
      ageMs: report.ageMs + now - at,
    }));
    this.gathered.clear();
    this.send(loads);
  }
}
