/** Issues permits to all hosts for the endpoints whose issuer this host is. */
import {
  computePermitRetryDelayMs,
  NO_SENDS,
  PermitBucket,
  RetrySchedule,
  type PermitIssuers,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {
  PermitResponseDatagram,
  PermitRequestDatagram,
  ReportedLimit,
} from '../model/limit_datagram.js';
import type {KnownLimits} from './known_limits.js';

/** A permit request without the fields that only other hosts need. */
export type PermitRequest = Omit<PermitRequestDatagram, 'kind' | 'limit'>;

interface SentAnswer {
  readonly incarnation: number;
  readonly at: number;
  readonly answer: PermitResponseDatagram;
}

/** The issuer's state of one endpoint. */
interface IssuedPermits {
  readonly bucket: PermitBucket;
  /** Schedules the retries of refused callers. */
  readonly retries: RetrySchedule;
  /** The last answer to each host, by the host's name. */
  readonly answers: Map<string, SentAnswer>;
}

/**
 * The retry delay of hosts that ask while this one is not the issuer, in ms.
 */
const NOT_ISSUER_RETRY_MS = 150;

/**
 * How long after its last request a host counts as requesting permits, in ms.
 */
const REQUESTER_TIMEOUT_MS = 10_000;

/** Grants permits. */
export class PermitGrants {
  private readonly issued = new Map<string, IssuedPermits>();

  constructor(
    private readonly issuers: PermitIssuers,
    private readonly limits: KnownLimits,
    private readonly clock: Clock,
  ) {}

  /**
   * Answers a permit request; a repeated request gets the same answer again.
   */
  decide(instanceId: string, request: PermitRequest): PermitResponseDatagram {
    const now = this.clock.getNow();
    const perSecond = this.limits.findRate(instanceId);
    if (perSecond === undefined) {
      this.issued.delete(instanceId);
      return this.createAnswer(instanceId, request, true);
    }
    const share = this.issuers.computeShare(instanceId, perSecond, now);
    if (share === 0) {
      // The next issuer does not know what this host granted, so each issuer
      // starts without permits; also this host if it becomes the issuer again.
      this.issued.delete(instanceId);
      return this.createAnswer(instanceId, request, false);
    }
    const permits = this.getIssued(instanceId, now);
    const last = permits.answers.get(request.name);
    const {incarnation} = request;
    const isSameHost = last?.incarnation === incarnation;
    if (isSameHost && last.answer.number === request.number) return last.answer;
    const rate = perSecond * share;
    permits.retries.add(request.refused, rate, now);
    const {granted, waitMs} = permits.bucket.take(request.wanted, rate, now);
    const answer = {
      ...this.createAnswer(instanceId, request, true),
      granted,
      waitMs,
      pauseMs: computePermitRetryDelayMs(
        countRequesters(permits, now),
        perSecond,
        waitMs,
      ),
      lastReturnMs: permits.retries.computeLastDelayMs(now),
    };
    permits.answers.set(request.name, {incarnation, at: now, answer});
    return answer;
  }

  /** Creates this host's view of an endpoint's limit, for other hosts. */
  createLimitSummary(instanceId: string): ReportedLimit {
    const report = this.limits.findReport(instanceId);
    const now = this.clock.getNow();
    const ageMs = report === undefined ? 0 : Math.max(0, now - report.at);
    return {instanceId, perSecond: report?.perSecond, ageMs};
  }

  /** Removes an endpoint. */
  drop(instanceId: string): void {
    this.issued.delete(instanceId);
  }

  private createAnswer(
    instanceId: string,
    {number}: PermitRequest,
    isIssuer: boolean,
  ): PermitResponseDatagram {
    return {
      kind: 'permit-answer',
      number,
      isIssuer,
      granted: NO_SENDS,
      waitMs: NOT_ISSUER_RETRY_MS,
      pauseMs: NOT_ISSUER_RETRY_MS,
      lastReturnMs: 0,
      limit: this.createLimitSummary(instanceId),
    };
  }

  private getIssued(instanceId: string, now: number): IssuedPermits {
    let permits = this.issued.get(instanceId);
    if (permits === undefined) {
      const bucket = new PermitBucket(now);
      permits = {bucket, retries: new RetrySchedule(), answers: new Map()};
      this.issued.set(instanceId, permits);
    }
    return permits;
  }
}

/** Counts the hosts that asked recently and removes the others. */
function countRequesters({answers}: IssuedPermits, now: number): number {
  for (const [name, {at}] of answers) {
    if (now - at > REQUESTER_TIMEOUT_MS) answers.delete(name);
  }
  return answers.size;
}
