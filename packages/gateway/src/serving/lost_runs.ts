/**
 * Runs that were lost while an endpoint had them: finds out whether the endpoint
 * ended under the run, and notes that against the request's content. An endpoint
 * that had said that it leaves, or was lost with its failure domain, ended for
 * another reason.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CrashRecords} from './crash_records.js';
import type {EndpointExitCheck} from './endpoint_exit_check.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingMetrics} from './serving_metrics.js';

/**
 * How long reports of other hosts on a lost endpoint may take, in ms. What ran
 * there from another host is lost at the same moment and reported a little later.
 */
export const REPORT_WAIT_MS = 50;

/** A run that was lost. */
export interface LostRun {
  readonly requestId: string;
  /** The name of the request's content. */
  readonly content: string;
  readonly endpoint: EndpointRecord;
}

/** What the lost runs work with. */
export interface LostRunsParts {
  readonly exitCheck: Pick<EndpointExitCheck, 'check'>;
  readonly crashes: CrashRecords;
  readonly metrics: ServingMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Takes lost runs. */
export class LostRuns {
  /** Runs whose endpoint is being checked, by content. */
  private readonly checking = new Map<string, number>();

  constructor(private readonly parts: LostRunsParts) {}

  /** Whether a content ended an endpoint, or perhaps did just now. */
  isSuspected(content: string): boolean {
    if (this.checking.has(content)) return true;
    return this.parts.crashes.countCrashes(content) > 0;
  }

  /**
   * Takes a lost run, and waits a while until it is known what became of its
   * endpoint. What ended an endpoint before is not sent again until that is known:
   * on a busy host the answer takes longer. What would be refused waits for the
   * reports of other hosts.
   *
   * @param mostMs How long a content that ended none is held up.
   */
  async record(
    run: LostRun,
    mostMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, crashes} = this.parts;
    const {content} = run;
    const known = this.checkEnd(run);
    if (crashes.countCrashes(content) > 0) await known;
    else if (mostMs > 0) {
      await Promise.race([known, clock.wait(mostMs, signal)]);
    }
    // A content that seems to be the cause may be cleared by what others report.
    if (crashes.isRefused(content)) await clock.wait(REPORT_WAIT_MS, signal);
  }

  private async checkEnd(run: LostRun): Promise<void> {
    this.addChecking(run.content, 1);
    try {
      await this.recordEnd(run);
    } finally {
      this.addChecking(run.content, -1);
    }
  }

  private async recordEnd({
    requestId,
    content,
    endpoint,
  }: LostRun): Promise<void> {
    const {exitCheck: check, crashes, metrics, log} = this.parts;
    const {instanceId, isReady: wasReady} = endpoint;
    const ownRuns = endpoint.getOwnUse().running;
    const end = await check.check(endpoint);
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
