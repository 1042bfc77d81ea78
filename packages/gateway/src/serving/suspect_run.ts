/**
 * Admits the runs of a request whose content is suspected to crash endpoints.
 * Over all hosts they run one at a time, so that the verdict on one run is
 * known before the next starts. Other requests are not delayed.
 */
import {REFUSAL_THRESHOLD} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {
  MAX_REPORT_DELAY_MS,
  REPORT_WAIT_MS,
  type CrashRecords,
} from './crash_records.js';
import type {LostRuns} from './lost_runs.js';

/**
 * How long the issuer may be silent before a content without crashes runs
 * without a lease, in ms. The issuer may be lost, and most of the contents that
 * wait crashed nothing.
 */
export const MAX_SILENCE_MS = 500;
/**
 * The same for a content with crashes, in ms. It exceeds the time until a lost
 * issuer is replaced and the new one grants leases.
 */
const MAX_SILENCE_WITH_CRASHES_MS = 4000;

/** A lease that this host holds. */
export interface RunLease {
  release(): void;
}

/** A request for the lease on a content. */
export interface LeaseRequest {
  readonly content: string;
  readonly signal: AbortSignal;
  /** The longest wait, in ms. */
  readonly maxWaitMs: number;
  /** Whether the content still needs a lease to run. */
  readonly isNeeded: () => boolean;
  /** The longest wait for an issuer that is silent, in ms. */
  readonly maxSilenceMs: number;
}

/** The outcome of a request for a lease. */
export type LeaseOutcome =
  | {
      readonly kind: 'granted';
      readonly lease: RunLease;
      /** Endpoint instances that the content crashed, as the issuer knows. */
      readonly instanceIds: readonly string[];
    }
  /** Another run held the lease for the whole wait. */
  | {readonly kind: 'held'}
  /** The content needs no lease any more, or its issuer does not answer. */
  | {readonly kind: 'not-needed'};

/** Grants leases on runs. */
export interface RunLeases {
  acquire(request: LeaseRequest): Promise<LeaseOutcome>;
}

/** Whether the next run may start. */
export type RunAdmissionResult =
  | 'admitted'
  /** Another run of the content is in progress. */
  | 'busy'
  /** The content crashed too many endpoints. */
  | 'refused';

/** Dependencies of the admission. */
export interface SuspectRunParts {
  readonly crashes: CrashRecords;
  readonly lostRuns: Pick<LostRuns, 'isSuspected'>;
  readonly runLeases: RunLeases;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Admits the runs of one request. */
export class SuspectRunAdmission {
  private lease: RunLease | undefined;

  constructor(
    private readonly parts: SuspectRunParts,
    private readonly request: {
      readonly content: string;
      readonly requestId: string;
    },
  ) {}

  /**
   * Waits until the next run may start.
   *
   * @param maxWaitMs The longest wait for another run of the content.
   */
  async admit(
    signal: AbortSignal,
    maxWaitMs: number,
  ): Promise<RunAdmissionResult> {
    const {crashes, lostRuns, clock} = this.parts;
    const {content} = this.request;
    const deadline = clock.getNow() + maxWaitMs;
    while (lostRuns.isSuspected(content)) {
      const remainingMs = deadline - clock.getNow();
      const isAcquired =
        this.lease !== undefined || (await this.acquire(signal, remainingMs));
      if (!isAcquired) return 'busy';
      await this.waitForReports(signal);
      if (!crashes.isRefused(content)) return 'admitted';
      // Reports on what else ran on the crashed endpoints may still arrive.
      await clock.wait(REPORT_WAIT_MS, signal);
      if (crashes.isRefused(content)) return 'refused';
      // A refused content requests no lease, and may now be run by others too.
      if (this.lease !== undefined) return 'admitted';
    }
    return 'admitted';
  }

  /** Releases the lease, if one is held. */
  close(): void {
    this.lease?.release();
    this.lease = undefined;
  }

  /**
   * Waits for reports of crashes at the moment of the last one, if one more
   * crash would refuse the content: runs at other hosts that began before the
   * content was suspected are lost then.
   */
  private async waitForReports(signal: AbortSignal): Promise<void> {
    const {crashes, clock} = this.parts;
    const {content} = this.request;
    if (crashes.countCrashes(content) < REFUSAL_THRESHOLD - 1) return;
    const waitMs = MAX_REPORT_DELAY_MS - crashes.getLastCrashAge(content);
    if (waitMs > 0) await clock.wait(waitMs, signal);
  }

  private async acquire(
    signal: AbortSignal,
    maxWaitMs: number,
  ): Promise<boolean> {
    const {crashes, lostRuns, runLeases, clock, log} = this.parts;
    const {content, requestId} = this.request;
    const startedAt = clock.getNow();
    const hasCrashes = crashes.countCrashes(content) > 0;
    const outcome = await runLeases.acquire({
      content,
      signal,
      maxWaitMs,
      isNeeded: () => {
        return lostRuns.isSuspected(content) && !crashes.isRefused(content);
      },
      maxSilenceMs: hasCrashes ? MAX_SILENCE_WITH_CRASHES_MS : MAX_SILENCE_MS,
    });
    log.writeInfo('Requested the lease on a suspected content.', {
      request: requestId,
      content,
      outcome: outcome.kind,
      ms: Math.round(clock.getNow() - startedAt),
    });
    if (outcome.kind === 'held') return false;
    if (outcome.kind === 'not-needed') return true;
    if (signal.aborted) {
      outcome.lease.release();
      return false;
    }
    this.lease = outcome.lease;
    const {instanceIds} = outcome;
    crashes.acceptCrashes(
      instanceIds.map((instanceId) => ({content, instanceId})),
    );
    return true;
  }
}
