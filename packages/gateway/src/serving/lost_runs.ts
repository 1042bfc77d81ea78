/**
 * Handles runs that were lost on an endpoint: checks whether the endpoint
 * exited under the run and, if so, records a crash of the request's content. An
 * endpoint that had announced that it leaves, or that was lost with its failure
 * domain, exited for another reason.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CrashRecords} from './crash_records.js';
import type {EndpointExitCheck} from './endpoint_exit_check.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingMetrics} from './serving_metrics.js';

/**
 * How long other hosts may take to report on a lost endpoint, in ms. Their runs
 * on it are lost at the same moment and reported a little later.
 */
export const REPORT_WAIT_MS = 50;

/** A run that was lost. */
export interface LostRun {
  readonly requestId: string;
  /** The hash of the request's content. */
  readonly content: string;
  readonly endpoint: EndpointRecord;
}

/** Dependencies of the lost runs. */
export interface LostRunsParts {
  readonly exitCheck: Pick<EndpointExitCheck, 'check'>;
  readonly crashes: CrashRecords;
  readonly metrics: ServingMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Checks the endpoints of lost runs. */
export class LostRuns {
  /** The number of runs whose endpoint is being checked, by content. */
  private readonly checking = new Map<string, number>();

  constructor(private readonly parts: LostRunsParts) {}

  /** Whether a content crashed an endpoint, or may have done so just now. */
  isSuspected(content: string): boolean {
    if (this.checking.has(content)) return true;
    return this.parts.crashes.countCrashes(content) > 0;
  }

  /**
   * Records a lost run and waits for the exit check of its endpoint. A content
   * with crashes waits until the result is known, which takes longer on a busy
   * host. A content that would be refused also waits for reports of other
   * hosts.
   *
   * @param maxWaitMs The longest wait for a content without crashes.
   */
  async record(
    run: LostRun,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, crashes} = this.parts;
    const {content} = run;
    const checked = this.checkExit(run);
    if (crashes.countCrashes(content) > 0) await checked;
    else if (maxWaitMs > 0) {
      await Promise.race([checked, clock.wait(maxWaitMs, signal)]);
    }
    // Reports of other hosts may show that another content is the cause.
    if (crashes.isRefused(content)) await clock.wait(REPORT_WAIT_MS, signal);
  }

  private async checkExit(run: LostRun): Promise<void> {
    this.addChecking(run.content, 1);
    try {
      await this.recordExit(run);
    } finally {
      this.addChecking(run.content, -1);
    }
  }

  private async recordExit({
    requestId,
    content,
    endpoint,
  }: LostRun): Promise<void> {
    const {exitCheck, crashes, metrics, log} = this.parts;
    const {instanceId, isReady: wasReady} = endpoint;
    const ownRuns = endpoint.getOwnUse().running;
    const end = await exitCheck.check(endpoint);
    metrics.lostRuns.inc({end});
    log.writeInfo('Probed the endpoint of a lost run.', {
      request: requestId,
      content,
      endpoint: instanceId,
      domain: endpoint.failureDomain,
      end,
      ownRuns,
    });
    if (end === 'ended' && wasReady) crashes.recordCrash({content, instanceId});
  }

  private addChecking(content: string, change: number): void {
    const count = (this.checking.get(content) ?? 0) + change;
    if (count > 0) this.checking.set(content, count);
    else this.checking.delete(content);
  }
}
