/**
 * Hands out permits to all hosts for the endpoints whose issuer this host is.
 */
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

/** A question without what only other hosts need to know. */
export type PermitRequest = Omit<PermitRequestDatagram, 'kind' | 'limit'>;

interface GivenAnswer {
  readonly incarnation: number;
  readonly at: number;
  readonly answer: PermitResponseDatagram;
}

/** What is kept of one endpoint. */
interface IssuedPermits {
  readonly bucket: PermitBucket;
  readonly returns: RetrySchedule;
  /** The last answer to each host, by the host's name. */
  readonly given: Map<string, GivenAnswer>;
}

/** When to ask again where this host hands out none, in ms. */
const NOT_ISSUER_WAIT_MS = 150;

/** A host that asked within this time is one of those that ask, in ms. */
const ASKER_MS = 10_000;

/** The permits that this host hands out. */
export class PermitGrants {
  private readonly issued = new Map<string, IssuedPermits>();

  constructor(
    private readonly issuers: PermitIssuers,
    private readonly beliefs: KnownLimits,
    private readonly clock: Clock,
  ) {}

  /** Answers a question; the same one again gets the same answer. */
  decide(instanceId: string, ask: PermitRequest): PermitResponseDatagram {
    const now = this.clock.getNow();
    const perSecond = this.beliefs.findRate(instanceId);
    if (perSecond === undefined) {
      this.issued.delete(instanceId);
      return this.createAnswer(instanceId, ask, true);
    }
    const part = this.issuers.computeShare(instanceId, perSecond, now);
    if (part === 0) {
      // What it gave before is not known to whoever is the issuer next, nor to
      // this host once it is that again: it starts with none.
      this.issued.delete(instanceId);
      return this.createAnswer(instanceId, ask, false);
    }
    const permits = this.getIssued(instanceId, now);
    const last = permits.given.get(ask.name);
    const {incarnation} = ask;
    const isSame = last?.incarnation === incarnation;
    if (isSame && last.answer.number === ask.number) return last.answer;
    const rate = perSecond * part;
    permits.returns.add(ask.refused, rate, now);
    const {granted, waitMs} = permits.bucket.take(ask.wanted, rate, now);
    const answer = {
      ...this.createAnswer(instanceId, ask, true),
      granted,
      waitMs,
      pauseMs: computePermitRetryDelayMs(
        countAskers(permits, now),
        perSecond,
        waitMs,
      ),
      lastReturnMs: permits.returns.computeLastDelayMs(now),
    };
    permits.given.set(ask.name, {incarnation, at: now, answer});
    return answer;
  }

  /** Gives what is believed here of an endpoint's limit. */
  createLimitSummary(instanceId: string): ReportedLimit {
    const report = this.beliefs.findReport(instanceId);
    const now = this.clock.getNow();
    const ageMs = report === undefined ? 0 : Math.max(0, now - report.at);
    return {instanceId, perSecond: report?.perSecond, ageMs};
  }

  /** Forgets an endpoint. */
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
      waitMs: NOT_ISSUER_WAIT_MS,
      pauseMs: NOT_ISSUER_WAIT_MS,
      lastReturnMs: 0,
      limit: this.createLimitSummary(instanceId),
    };
  }

  private getIssued(instanceId: string, now: number): IssuedPermits {
    let permits = this.issued.get(instanceId);
    if (permits === undefined) {
      const bucket = new PermitBucket(now);
      permits = {bucket, returns: new RetrySchedule(), given: new Map()};
      this.issued.set(instanceId, permits);
    }
    return permits;
  }
}

/** Counts the hosts that asked of late, and forgets the others. */
function countAskers({given}: IssuedPermits, now: number): number {
  for (const [name, {at}] of given) {
    if (now - at > ASKER_MS) given.delete(name);
  }
  return given.size;
}
