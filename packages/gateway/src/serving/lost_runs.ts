/**
 * Runs that were lost while an endpoint had them: finds out whether the endpoint
 * ended under the run, and notes that against the request's content. An endpoint
 * that had said that it leaves, or was lost with its failure domain, ended for
 * another reason.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CrashRecords} from './crash_records.js';
import type {EndpointEndCheck} from './endpoint_end.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {ServingMetrics} from './serving_metrics.js';

/**
 * How long reports of other hosts on a lost endpoint may take, in ms. What ran
 * there from another host is lost at the same moment and reported a little later.
 */
const REPORTS_MS = 50;

/** A run that was lost. */
export interface LostRun {
  readonly requestId: string;
  /** The name of the request's content. */
  readonly content: string;
  readonly endpoint: EndpointRecord;
}

/** What the lost runs work with. */
export interface LostRunsParts {
  readonly check: Pick<EndpointEndCheck, 'check'>;
  readonly crashes: CrashRecords;
  readonly metrics: ServingMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Takes lost runs. */
export class LostRuns {
  constructor(private readonly parts: LostRunsParts) {}

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
    const known = this.findEnd(run);
    if (crashes.countCrashes(content) > 0) await known;
    else if (mostMs > 0) {
      await Promise.race([known, clock.wait(mostMs, signal)]);
    }
    // A content that seems to be the cause may be cleared by what others report.
    if (crashes.isRefused(content)) await clock.wait(REPORTS_MS, signal);
  }

  private async findEnd({
    requestId,
    content,
    endpoint,
  }: LostRun): Promise<void> {
    const {check, crashes, metrics, log} = this.parts;
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
}
