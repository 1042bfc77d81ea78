/**
 * Handles runs that were lost on an endpoint: checks whether the endpoint
 * exited under the run and, if so, records a crash of the request's content. An
 * endpoint that had announced that it leaves, or that was lost with its failure
 * domain, exited for another reason.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import {REPORT_WAIT_MS, type CrashRecords} from './crash_records.js';
import {DomainLossReview} from './domain_loss_review.js';
import {MAX_CHECK_MS, type EndpointExitCheck} from './endpoint_exit_check.js';
import type {EndpointRecord} from './endpoint_record.js';
import {FAILURE_WEIGHTS} from './send_rules.js';
import type {ServingMetrics} from './serving_metrics.js';

/**
 * How long after the removal of its entry the loss of a run still shows a
 * crash, in ms. A busy host may read the removal first. An endpoint that leaves
 * without an announcement serves on for longer.
 */
const MAX_LOSS_DELAY_MS = 500;

/** A run that was lost. */
export interface LostRun {
  readonly requestId: string;
  /** The hash of the request's content. */
  readonly content: string;
  readonly endpoint: EndpointRecord;
  /** Whether this host left it because the endpoint was silent. */
  readonly wasSilent: boolean;
  /** Whether the silent endpoint answered no probe either. */
  readonly wasMute?: boolean;
}

/** Dependencies of the lost runs. */
export interface LostRunsParts {
  readonly exitCheck: Pick<
    EndpointExitCheck,
    'check' | 'close' | 'isDomainLossRefuted'
  >;
  readonly crashes: CrashRecords;
  readonly metrics: ServingMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Checks the endpoints of lost runs. */
export class LostRuns {
  /**
   * The lost runs whose endpoint is being checked, by content; each controller
   * is aborted when the check is over or no longer matters.
   */
  private readonly checking = new Map<string, Map<LostRun, AbortController>>();

  private readonly domainLosses: DomainLossReview;

  constructor(private readonly parts: LostRunsParts) {
    this.domainLosses = new DomainLossReview(parts);
  }

  /**
   * Whether a content crashed an endpoint, or may have done so just now. One
   * whose crashes are all explained by more suspect contents is not suspected.
   */
  isSuspected(content: string): boolean {
    if (this.checking.has(content)) return true;
    if (this.domainLosses.isPending(content)) return true;
    return this.parts.crashes.hasEvidence(content);
  }

  /**
   * Records a lost run and waits for the exit check of its endpoint. If the
   * connection of this or an earlier run was closed, as a process that exits
   * does, and the content was suspected before, it waits until the result is
   * known: otherwise the content would be run again and again while its
   * endpoints exit slowly. Frozen endpoints are not waited for. A content that
   * would be refused also waits for reports of other hosts.
   *
   * @param maxWaitMs The longest wait for a run that need not wait.
   */
  async record(
    run: LostRun,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, crashes} = this.parts;
    const {content} = run;
    const isWaitNeeded = this.isWaitNeeded(run);
    const checked = this.addChecking(run);
    void this.checkExit(run, checked.signal);
    const waitMs = isWaitNeeded ? MAX_CHECK_MS : maxWaitMs;
    if (waitMs > 0) {
      await clock.wait(waitMs, AbortSignal.any([signal, checked.signal]));
    }
    // Reports of other hosts may show that another content is the cause.
    if (crashes.isRefused(content)) await clock.wait(REPORT_WAIT_MS, signal);
  }

  /** Clears a content that was run to its end. */
  recordCompletion(content: string): void {
    for (const checked of this.checking.get(content)?.values() ?? []) {
      checked.abort();
    }
    this.checking.delete(content);
    this.domainLosses.cancel(content);
    this.parts.crashes.recordCompletion(content);
  }

  /** Ends the pending checks. */
  close(): void {
    this.parts.exitCheck.close();
    this.domainLosses.close();
  }

  /**
   * Whether the next run of a content whose endpoint is silent would wait for
   * the exit check of this or an earlier run.
   */
  isExitCheckNeeded(content: string): boolean {
    if (this.parts.crashes.hasEvidence(content)) return true;
    const earlierRuns = [...(this.checking.get(content)?.keys() ?? [])];
    return earlierRuns.some((earlier) => !earlier.wasSilent);
  }

  private isWaitNeeded({content, wasSilent}: LostRun): boolean {
    if (this.isExitCheckNeeded(content)) return true;
    return !wasSilent && this.checking.has(content);
  }

  private async checkExit(run: LostRun, signal: AbortSignal): Promise<void> {
    try {
      await this.recordExit(run, signal);
    } finally {
      this.deleteChecking(run);
    }
  }

  private async recordExit(run: LostRun, signal: AbortSignal): Promise<void> {
    const {exitCheck, crashes, metrics, clock, log} = this.parts;
    const {requestId, content, endpoint} = run;
    const {instanceId} = endpoint;
    const lostAt = clock.getNow();
    const wasServing = isServing(endpoint);
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
    if (run.wasMute === true && end === 'answers') {
      const ageMs = clock.getNow() - lostAt;
      endpoint.dropFailure(FAILURE_WEIGHTS.lost, ageMs);
    }
    // A content that was run to its end meanwhile is sound.
    if (!wasServing || signal.aborted) return;
    if (end === 'ended') crashes.recordCrash({content, instanceId});
    if (end !== 'ended-with-domain') return;
    void this.domainLosses.add({content, endpoint});
  }

  private addChecking(run: LostRun): AbortController {
    const {content} = run;
    const runs =
      this.checking.get(content) ?? new Map<LostRun, AbortController>();
    const checked = new AbortController();
    this.checking.set(content, runs.set(run, checked));
    return checked;
  }

  private deleteChecking(run: LostRun): void {
    const runs = this.checking.get(run.content);
    runs?.get(run)?.abort();
    runs?.delete(run);
    if (runs?.size === 0) this.checking.delete(run.content);
  }
}

/** Whether an endpoint was in service when a run on it was lost. */
function isServing({entry, removedMs}: EndpointRecord): boolean {
  return entry.state === 'ready' && removedMs <= MAX_LOSS_DELAY_MS;
}
