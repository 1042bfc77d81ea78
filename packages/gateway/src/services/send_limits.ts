/**
 * Enforces the rate limits that endpoints advertise, over all hosts: admits
 * connections by permits, and issues permits where this host is the issuer.
 * docs/design/endpoint_limits.md.
 */
import {hashText, PermitIssuers, type SendPriority} from '@irisdock/decisions';
import {getErrorText, type Clock, type Logger} from '@irisdock/kernel';
import type {
  LimitsDatagram,
  PermitResponseDatagram,
  PermitRequestDatagram,
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
import {LimitRepeater} from './limit_repeater.js';
import {
  ENDED_LIMIT_KEEP_MS,
  RemoteLimits,
  type RemoteLimitsParts,
} from './remote_limits.js';
import type {LimitDatagramHandler} from './datagram_handlers.js';
import type {Peers} from './peer_hosts.js';
import {PeerRequests} from './peer_requests.js';
import {PermitGrants} from './permit_grants.js';
import {
  PermitQueue,
  type QueueRequest,
  type PermitReply,
} from './permit_queue.js';

/** Dependencies of the limits. */
export interface SendLimitsParts extends RemoteLimitsParts {
  readonly identity: Pick<HostIdentity, 'incarnation' | 'name'>;
  readonly peers: Pick<
    Peers,
    | 'countPossiblyAlive'
    | 'listReadyNames'
    | 'recordsHash'
    | 'sendToAll'
    | 'sendToNames'
  >;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A limit in force, as shown to operators. */
export interface LimitStatus extends KnownLimit {
  readonly issuer: string | undefined;
  /** Sends of this host that were admitted and held back by its queue. */
  readonly given: number;
  readonly held: number;
}

/**
 * The delay before the next permit request when no issuer answers, in ms; by
 * then the loss of the issuer is detected.
 */
const RETRY_DELAY_MS = 200;
/**
 * A limit is checked again after this time without a response of its endpoint,
 * in ms. 350 hosts with requests then make 120 permit requests per second.
 */
const RECHECK_MS = 3000;
/** Heartbeats between two removals of old entries. */
const SWEEP_HEARTBEATS = 16;

/** Admits sends within the limits of endpoints. */
export class SendLimits implements LimitDatagramHandler, SendGate {
  readonly known: KnownLimits;
  private readonly remote: RemoteLimits;
  private readonly issuers: PermitIssuers;
  private readonly grants: PermitGrants;
  private readonly requests: PeerRequests<
    PermitRequestDatagram,
    PermitResponseDatagram
  >;
  private readonly publisher: LimitPublisher;
  private readonly repeater: LimitRepeater;
  private readonly queues = new Map<string, PermitQueue>();
  private recordsHash: number | undefined;
  private possiblyAlive = 0;
  private heartbeats = 0;
  private localRequests = 0;

  constructor(private readonly parts: SendLimitsParts) {
    const {identity, peers, clock, log} = parts;
    this.known = new KnownLimits(clock, log);
    this.remote = new RemoteLimits(this.known, parts);
    this.issuers = new PermitIssuers(identity.name, clock.getNow());
    this.grants = new PermitGrants(this.issuers, this.known, clock);
    this.requests = new PeerRequests(clock, (to, request) => {
      peers.sendToNames([to], request);
    });
    this.publisher = new LimitPublisher({
      ownName: identity.name,
      findIssuer: (instanceId) => this.findFirstIssuer(instanceId),
      isEndpointKnown: parts.isEndpointKnown,
      createLimitSummary: (instanceId) =>
        this.grants.createLimitSummary(instanceId),
      sendToAll: (datagram) => {
        peers.sendToAll(datagram);
      },
      sendTo: (host, datagram) => {
        peers.sendToNames([host], datagram);
      },
    });
    this.repeater = new LimitRepeater({
      known: this.known,
      clock,
      isIssuer: (instanceId) => this.isIssuer(instanceId),
      publisher: this.publisher,
    });
  }

  /** Lists the limits in force with this host's counts. */
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
    priority: SendPriority,
  ): Promise<SendAdmission> | SendAdmission {
    const perSecond = this.known.findRate(target.instanceId);
    if (perSecond === undefined) return new SendPermit(target);
    return this.getQueue(target.instanceId).wait(target, priority);
  }

  /**
   * Chooses an endpoint whose limit needs to be checked again. An endpoint with
   * a limit may look slower than others with capacity and get no requests; then
   * no response would tell that its limit has ended. A free permit is used for
   * it.
   */
  takeUnconfirmed<T extends SendTarget>(targets: Iterable<T>): T | undefined {
    if (this.known.count === 0) return undefined;
    const now = this.parts.clock.getNow();
    for (const target of targets) {
      const report = this.known.findReport(target.instanceId);
      if (report?.perSecond === undefined) continue;
      if (now - report.at < RECHECK_MS) continue;
      if (this.getQueue(target.instanceId).takeProbe(RECHECK_MS)) return target;
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
    if (best === undefined) return RETRY_DELAY_MS;
    best.addRetry();
    return bestMs;
  }

  startHeartbeat(): void {
    this.heartbeats++;
    this.repeater.startHeartbeat();
    if (this.heartbeats % SWEEP_HEARTBEATS === 0) this.dropExpired();
  }

  acceptLimits({name, limits}: LimitsDatagram): void {
    const missed: string[] = [];
    for (const limit of limits) {
      if (!this.remote.isUsable(limit)) continue;
      const {instanceId} = limit;
      const outcome = this.remote.accept(limit, name);
      const issuer = this.findFirstIssuer(instanceId);
      const isIssuer = issuer === this.parts.identity.name;
      this.handleOutcome(instanceId, outcome, isIssuer);
      if (issuer === name) this.repeater.recordIssuerReport(instanceId);
      if (isIssuer && outcome === 'older') missed.push(instanceId);
    }
    // The sender has missed later reports.
    this.publisher.sendTo(name, missed);
  }

  acceptPermitRequest(request: PermitRequestDatagram): void {
    const {instanceId} = request.limit;
    // A report of any age counts here: the response to the send that is asked
    // for confirms or ends the limit. Without the report this host would answer
    // that there is no limit, and the sender would send without permits.
    const outcome = this.remote.accept(request.limit, request.name);
    this.handleOutcome(instanceId, outcome, this.isIssuer(instanceId));
    const answer = this.grants.decide(instanceId, request);
    this.parts.peers.sendToNames([request.name], answer);
  }

  acceptPermitAnswer(answer: PermitResponseDatagram): void {
    this.requests.accept(answer);
  }

  close(): void {
    this.publisher.close();
  }

  /** Ends the pause of the queue and informs other hosts of a changed limit. */
  private handleOutcome(
    instanceId: string,
    outcome: ReportOutcome,
    mustPublish: boolean,
  ): void {
    if (outcome !== 'changed') return;
    this.queues.get(instanceId)?.endPause();
    if (mustPublish) this.publisher.publish(instanceId);
  }

  /** Finds an issuer among the hosts that are alive. */
  private findIssuer(instanceId: string, turn: number): string | undefined {
    this.updateHosts();
    const perSecond = this.known.findRate(instanceId) ?? 0;
    return this.issuers.findIssuer(instanceId, perSecond, turn);
  }

  /** Finds the issuer that informs all other hosts of the limit. */
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
        poll: (request) => this.tryPoll(instanceId, request),
        findRate: () => this.known.findRate(instanceId),
        firstTurn: hashText(this.parts.identity.name),
        findIssuer: (turn) => this.findIssuer(instanceId, turn),
      });
      this.queues.set(instanceId, queue);
    }
    return queue;
  }

  /** Requests permits; the waiting sends get a reply even if this throws. */
  private async tryPoll(
    instanceId: string,
    request: QueueRequest,
  ): Promise<PermitReply> {
    try {
      return await this.poll(instanceId, request);
    } catch (thrown) {
      const error = getErrorText(thrown);
      this.parts.log.writeError('Failed to request permits.', {error});
      return {kind: 'silent', waitMs: RETRY_DELAY_MS};
    }
  }

  private async poll(
    instanceId: string,
    queueRequest: QueueRequest,
  ): Promise<PermitReply> {
    const {name, incarnation} = this.parts.identity;
    const {turn, ...wanted} = queueRequest;
    const issuer = this.findIssuer(instanceId, turn);
    if (issuer === undefined) return {kind: 'silent', waitMs: RETRY_DELAY_MS};
    const limit = this.grants.createLimitSummary(instanceId);
    const request = {...wanted, name, incarnation, limit};
    const answer =
      issuer === name
        ? this.grants.decide(instanceId, {
            ...request,
            number: this.countLocalRequest(),
          })
        : await this.requests.poll(issuer, (number) => {
            return {...request, kind: 'permit-ask', number};
          });
    if (answer === undefined) return {kind: 'silent', waitMs: RETRY_DELAY_MS};
    if (issuer !== name && this.remote.isUsable(answer.limit)) {
      const outcome = this.remote.accept(answer.limit, issuer);
      this.handleOutcome(instanceId, outcome, false);
    }
    if (this.known.findRate(instanceId) === undefined) return {kind: 'free'};
    const {isIssuer, granted, waitMs, pauseMs, lastReturnMs} = answer;
    if (!isIssuer) return {kind: 'silent', waitMs};
    return {kind: 'given', granted, waitMs, pauseMs, lastReturnMs};
  }

  /** Numbers the permit requests that this host makes to itself. */
  private countLocalRequest(): number {
    this.localRequests++;
    return this.localRequests;
  }

  /**
   * Updates the issuers if the known hosts changed. It reads all hosts, so it
   * runs on use and not in each heartbeat: most hosts have no limit to enforce.
   */
  private updateHosts(): void {
    const {peers} = this.parts;
    const {recordsHash} = peers;
    const possiblyAlive = peers.countPossiblyAlive();
    const isSame = recordsHash === this.recordsHash;
    if (isSame && possiblyAlive === this.possiblyAlive) return;
    this.recordsHash = recordsHash;
    this.possiblyAlive = possiblyAlive;
    const names = peers.listReadyNames();
    this.issuers.update({names, possiblyAlive});
  }

  /** Removes endpoints that are gone and limits that ended long ago. */
  private dropExpired(): void {
    const oldest = this.parts.clock.getNow() - ENDED_LIMIT_KEEP_MS;
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
