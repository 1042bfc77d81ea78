/**
 * Admits the runs of a request whose content is suspected to end its endpoints:
 * one at a time over all hosts, so that the verdict on one run is known before the
 * next one starts. Other requests are not delayed.
 */
import type {Clock, Logger} from '@irisdock/kernel';
import type {CrashRecords} from './crash_records.js';
import {REPORT_WAIT_MS, type LostRuns} from './lost_runs.js';

/** A lease that is held. */
export interface RunLease {
  release(): void;
}

/** A request for the lease of a content. */
export interface LeaseRequest {
  readonly content: string;
  readonly signal: AbortSignal;
  /** The longest wait, in ms. */
  readonly maxWaitMs: number;
  /** Whether the content still needs a lease to run. */
  readonly isNeeded: () => boolean;
}

/** What became of a request for a lease. */
export type LeaseOutcome =
  | {
      readonly kind: 'granted';
      readonly lease: RunLease;
      /** The starts of endpoints that the issuer knows to have ended. */
      readonly instanceIds: readonly string[];
    }
  /** Another run held it for the whole time. */
  | {readonly kind: 'held'}
  /** The content may run, or not run, without a lease. */
  | {readonly kind: 'not-needed'};

/** Grants leases on runs. */
export interface RunLeases {
  acquire(request: LeaseRequest): Promise<LeaseOutcome>;
}

/** Whether the next run may start. */
export type RunAdmissionResult =
  | 'admitted'
  /** Another run of the content is under way. */
  | 'busy'
  /** The content ended too many endpoints. */
  | 'refused';

/** Dependencies of the admission. */
export interface SuspectRunParts {
  readonly crashes: CrashRecords;
  readonly lostRuns: Pick<LostRuns, 'isSuspected'>;
  readonly runLeases: RunLeases;
  readonly clock: Clock;
  readonly log: Logger;
}

/** The runs of one request. */
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
   * @param mostMs The longest wait for another run of the content.
   */
  async admit(
    signal: AbortSignal,
    mostMs: number,
  ): Promise<RunAdmissionResult> {
    const {crashes, lostRuns, clock} = this.parts;
    const {content} = this.request;
    if (!lostRuns.isSuspected(content)) return 'admitted';
    const isAcquired =
      this.lease !== undefined || (await this.acquire(signal, mostMs));
    if (!isAcquired) return 'busy';
    if (!crashes.isRefused(content)) return 'admitted';
    // Reports of what else ran on the endpoints may still arrive.
    await clock.wait(REPORT_WAIT_MS, signal);
    return crashes.isRefused(content) ? 'refused' : 'admitted';
  }

  /** Ends the lease, if there is one. */
  close(): void {
    this.lease?.release();
    this.lease = undefined;
  }

  private async acquire(signal: AbortSignal, mostMs: number): Promise<boolean> {
    const {crashes, lostRuns, runLeases, clock, log} = this.parts;
    const {content, requestId} = this.request;
    const startedAt = clock.getNow();
    const outcome = await runLeases.acquire({
      content,
      signal,
      maxWaitMs: mostMs,
      isNeeded: () => {
        return lostRuns.isSuspected(content) && !crashes.isRefused(content);
      },
    });
    log.writeInfo('Requested the lease on a suspected content.', {
      request: requestId,
      content,
      outcome: outcome.kind,
      ms: Math.round(clock.getNow() - startedAt),
    });
    if (outcome.kind === 'held') return false;
    if (outcome.kind === 'not-needed') return true;
    this.lease = outcome.lease;
    const {instanceIds} = outcome;
    crashes.acceptCrashes(
      instanceIds.map((instanceId) => ({content, instanceId})),
    );
    return true;
  }
}
