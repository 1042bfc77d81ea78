/**
 * Keeps the limits that endpoints name, over all hosts together: the gate before
 * every connection, and this host's part in handing out permits.
 * docs/design/endpoint_limits.md.
 */
import {
  computeEnforcedRate,
  hashText,
  PermitIssuers,
  type LimitReport,
  type SendPriority,
} from '@irisdock/decisions';
import {getErrorText, type Clock, type Logger} from '@irisdock/kernel';
import type {
  LimitsDatagram,
  PermitResponseDatagram,
  PermitRequestDatagram,
  ReportedLimit,
} from '../model/limit_datagram.js';
import {
  SendPermit,
  type LimitAnswer,
  type LimitHold,
  type SendAdmission,
  type SendGate,
  type SendTarget,
} from '../serving/send_gate.js';
import type {HostIdentity} from './identity.js';
import {
  KnownLimits,
  type KnownLimit,
  type ReportOutcome,
} from './known_limits.js';
import {LimitPublisher} from './limit_publisher.js';
import type {LimitDatagramHandler} from './datagram_handlers.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';
import {PermitGrants} from './permit_grants.js';
import {
  PermitQueue,
  type QueueRequest,
  type PermitReply,
} from './permit_queue.js';

/** What the limits work with. */
export interface SendLimitsParts {
  readonly identity: HostIdentity;
  readonly peers: Pick<
    Peers,
    | 'countPossiblyAlive'
    | 'listReadyNames'
    | 'recordsHash'
    | 'sendToAll'
    | 'sendToNames'
  >;
  readonly isEndpointKnown: (instanceId: string) => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A limit as operators are shown it. */
export interface LimitStatus extends KnownLimit {
  readonly issuer: string | undefined;
  /** Sends of this host that were let through and held back since it began. */
  readonly given: number;
  readonly held: number;
}

/** Until the next question when nobody answers, in ms; a loss is known by then. */
const SILENT_WAIT_MS = 200;
/**
 * After so long without an answer of the endpoint a limit is looked at again, in
 * ms. At 350 hosts that have requests it makes 120 questions a second.
 */
const CONFIRM_MS = 3000;
/** Beats between two looks at what is to be forgotten. */
const SWEEP_BEATS = 16;
/** A limit that ended is remembered so long against older reports, in ms. */
const ENDED_KEPT_MS = 60_000;

/** The limits. */
export class SendLimits implements LimitDatagramHandler, SendGate {
  readonly known: KnownLimits;
  private readonly issuers: PermitIssuers;
  private readonly grants: PermitGrants;
  private readonly questions: PeerRequests<
    PermitRequestDatagram,
    PermitResponseDatagram
  >;
  private readonly notices: LimitPublisher;
  private readonly queues = new Map<string, PermitQueue>();
  private recordsHash: number | undefined;
  private mayLive = 0;
  private beats = 0;
  private ownAsks = 0;

  constructor(private readonly parts: SendLimitsParts) {
    const {identity, peers, clock, log} = parts;
    this.known = new KnownLimits(clock, log);
    this.issuers = new PermitIssuers(identity.name, clock.getNow());
    this.grants = new PermitGrants(this.issuers, this.known, clock);
    this.questions = new PeerRequests(clock, (to, ask) => {
      peers.sendToNames([to], ask);
    });
    this.notices = new LimitPublisher({
      ownName: identity.name,
      findIssuer: (instanceId) => this.findFirstIssuer(instanceId),
      createLimitSummary: (instanceId) =>
        this.grants.createLimitSummary(instanceId),
      sendToAll: (datagram) => {
        peers.sendToAll(datagram);
      },
      sendTo: (host, datagram) => {
        peers.sendToNames([host], datagram);
      },
    });
  }

  /** Lists the limits in force, as this host knows and keeps them. */
  listLimits(): LimitStatus[] {
    return this.known.listLimits().map((limit) => {
      const {instanceId} = limit;
      const queue = this.queues.get(instanceId);
      return {
        ...limit,
        issuer: this.findFirstIssuer(instanceId),
        given: queue?.given ?? 0,
        held: queue?.held ?? 0,
      };
    });
  }

  admit(
    target: SendTarget,
    use: SendPriority,
  ): Promise<SendAdmission> | SendAdmission {
    const perSecond = this.known.findRate(target.instanceId);
    if (perSecond === undefined) return new SendPermit(target);
    return this.getQueue(target.instanceId).wait(target, use);
  }

  /**
   * An endpoint with a limit may look slower than others that have room, and get
   * nothing; then no answer would ever tell that its limit is over. The permit
   * that it has free is used for that.
   */
  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined {
    if (this.known.count === 0) return undefined;
    const now = this.parts.clock.getNow();
    for (const target of targets) {
      const report = this.known.findReport(target.instanceId);
      if (report?.perSecond === undefined) continue;
      if (now - report.at < CONFIRM_MS) continue;
      if (this.getQueue(target.instanceId).takeProbe(CONFIRM_MS)) return target;
    }
    return undefined;
  }

  recordAnswer({target, limit, isTelling, sentAt}: LimitAnswer): void {
    const {instanceId} = target;
    if (limit === undefined && !isTelling) return;
    const outcome =
      limit === undefined
        ? this.known.acceptAbsent(instanceId, sentAt)
        : this.known.acceptAdvertised(instanceId, limit);
    this.handleOutcome(instanceId, outcome, true);
  }

  decideReturnMs(holds: readonly LimitHold[]): number {
    let best: PermitQueue | undefined;
    let bestMs = Infinity;
    for (const {target, perSecond} of holds) {
      const queue = this.getQueue(target.instanceId);
      const ms = queue.computeRetryDelayMs(perSecond);
      if (ms >= bestMs) continue;
      best = queue;
      bestMs = ms;
    }
    if (best === undefined) return SILENT_WAIT_MS;
    best.addRetry();
    return bestMs;
  }

  startHeartbeat(): void {
    this.beats++;
    if (this.beats % SWEEP_BEATS === 0) this.dropOld();
  }

  acceptLimits({name, limits}: LimitsDatagram): void {
    for (const limit of limits) {
      const {instanceId} = limit;
      const outcome = this.acceptTold(limit, name);
      this.handleOutcome(instanceId, outcome, this.isIssuer(instanceId));
    }
  }

  acceptPermitRequest(ask: PermitRequestDatagram): void {
    const {instanceId} = ask.limit;
    const outcome = this.acceptTold(ask.limit, ask.name);
    this.handleOutcome(instanceId, outcome, this.isIssuer(instanceId));
    const answer = this.grants.decide(instanceId, ask);
    this.parts.peers.sendToNames([ask.name], answer);
  }

  acceptPermitAnswer(answer: PermitResponseDatagram): void {
    this.questions.accept(answer);
  }

  close(): void {
    this.notices.close();
  }

  /** Acts on a limit that has changed. */
  private handleOutcome(
    instanceId: string,
    outcome: ReportOutcome,
    isTold: boolean,
  ): void {
    if (outcome !== 'changed') return;
    this.queues.get(instanceId)?.endPause();
    if (isTold) this.notices.publish(instanceId);
  }

  /** Finds an issuer among the hosts that are alive now. */
  private findIssuer(instanceId: string, turn: number): string | undefined {
    this.updateHosts();
    const perSecond = this.known.findRate(instanceId) ?? 0;
    return this.issuers.findIssuer(instanceId, perSecond, turn);
  }

  /** Finds the host that tells all others of the limit. */
  private findFirstIssuer(instanceId: string): string | undefined {
    return this.findIssuer(instanceId, 0);
  }

  private isIssuer(instanceId: string): boolean {
    return this.findFirstIssuer(instanceId) === this.parts.identity.name;
  }

  private getQueue(instanceId: string): PermitQueue {
    let queue = this.queues.get(instanceId);
    if (queue === undefined) {
      queue = new PermitQueue({
        clock: this.parts.clock,
        poll: (question) => this.tryPoll(instanceId, question),
        findRate: () => this.known.findRate(instanceId),
        firstTurn: hashText(this.parts.identity.name),
        findIssuer: (turn) => this.findIssuer(instanceId, turn),
      });
      this.queues.set(instanceId, queue);
    }
    return queue;
  }

  /** Asks; what waits is answered whatever happens on the way. */
  private async tryPoll(
    instanceId: string,
    question: QueueRequest,
  ): Promise<PermitReply> {
    try {
      return await this.poll(instanceId, question);
    } catch (thrown) {
      const error = getErrorText(thrown);
      this.parts.log.writeError('Permits could not be asked for.', {error});
      return {kind: 'silent', waitMs: SILENT_WAIT_MS};
    }
  }

  private async poll(
    instanceId: string,
    question: QueueRequest,
  ): Promise<PermitReply> {
    const {name, incarnation} = this.parts.identity;
    const {turn, ...wanted} = question;
    const issuer = this.findIssuer(instanceId, turn);
    if (issuer === undefined) return {kind: 'silent', waitMs: SILENT_WAIT_MS};
    const limit = this.grants.createLimitSummary(instanceId);
    const ask = {...wanted, name, incarnation, limit};
    const answer =
      issuer === name
        ? this.grants.decide(instanceId, {...ask, number: this.countOwnAsk()})
        : await this.questions.poll(issuer, (number) => {
            return {...ask, kind: 'permit-ask', number};
          });
    if (answer === undefined) return {kind: 'silent', waitMs: SILENT_WAIT_MS};
    if (issuer !== name) {
      const outcome = this.acceptTold(answer.limit, issuer);
      this.handleOutcome(instanceId, outcome, false);
    }
    if (this.known.findRate(instanceId) === undefined) return {kind: 'free'};
    const {isIssuer, granted, waitMs, pauseMs, lastReturnMs} = answer;
    if (!isIssuer) return {kind: 'silent', waitMs};
    return {kind: 'given', granted, waitMs, pauseMs, lastReturnMs};
  }

  /** Gives each of this host's own questions to itself another number. */
  private countOwnAsk(): number {
    this.ownAsks++;
    return this.ownAsks;
  }

  private acceptTold(
    {instanceId, perSecond, ageMs}: ReportedLimit,
    source: string,
  ): ReportOutcome {
    const at = this.parts.clock.getNow() - ageMs;
    const isLimited = perSecond !== undefined;
    // Who knows of no limit has nothing to end.
    if (!isLimited && this.known.findRate(instanceId) === undefined) {
      return 'known';
    }
    const rate = isLimited
      ? computeEnforcedRate({kind: 'rate', perSecond}, undefined)
      : undefined;
    const report: LimitReport = {perSecond: rate, at};
    return this.known.accept(instanceId, report, source);
  }

  /** Not in each beat: it looks at all hosts, and most have no limit to keep. */
  private updateHosts(): void {
    const {peers} = this.parts;
    const {recordsHash} = peers;
    const mayLive = peers.countPossiblyAlive();
    const isSame = recordsHash === this.recordsHash;
    if (isSame && mayLive === this.mayLive) return;
    this.recordsHash = recordsHash;
    this.mayLive = mayLive;
    const names = peers.listReadyNames();
    this.issuers.update({names, possiblyAlive: mayLive});
  }

  /** Forgets endpoints that are gone, and limits that ended long ago. */
  private dropOld(): void {
    const oldest = this.parts.clock.getNow() - ENDED_KEPT_MS;
    for (const instanceId of this.known.listInstanceIds()) {
      const report = this.known.findReport(instanceId);
      const isEnded =
        report?.perSecond === undefined && (report?.at ?? 0) < oldest;
      if (this.parts.isEndpointKnown(instanceId) && !isEnded) continue;
      this.known.drop(instanceId);
      this.issuers.drop(instanceId);
      this.grants.drop(instanceId);
      this.queues.delete(instanceId);
    }
  }
}
