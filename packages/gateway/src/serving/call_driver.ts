/**
 * Drives one call to a plain service to its final answer. A call that must not
 * run twice is retried only if the previous attempt certainly did not run.
 */
import {choosePlainEndpoint} from '@irisdock/decisions';
import type {KnownError} from '@irisdock/kernel';
import {
  MIN_SERVER_ERROR_STATUS,
  findResponseFault,
} from '../channels/response_check.js';
import type {EndpointResponse} from '../channels/endpoint_client.js';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import {
  readPlainAnswer,
  recordRolloutAnswer,
  type PlainAnswerResult,
} from './plain_answer_reader.js';
import type {AdmittedRequest, PlainAnswer} from './caller_exchange.js';
import {passRelayedAnswer, sendRelayedCall} from './relayed_call.js';
import type {EndpointRecord, UseClaim} from './endpoint_record.js';
import {listLiveEndpoints} from './live_endpoints.js';
import type {SendPermit} from './send_gate.js';
import {SendHolds} from './send_holds.js';
import {
  checkPath,
  computeRemainingMs,
  createBusyError,
  createNotRunError,
  createRefusedError,
  createTimeError,
  FAILURE_WEIGHTS,
  MAX_BUSY_WAIT_MS,
  recordEndpointFailure,
} from './send_rules.js';
import {getRandomFraction, type ServingParts} from './serving_parts.js';
import {SuspectRunAdmission} from './suspect_run.js';

/** How many sends that certainly did not run may be retried. */
const MAX_NOT_RUN_SENDS = 3;

/** Drives one call. */
export class CallDriver {
  /** The endpoint of the last send; undefined before the first. */
  lastEndpoint: EndpointRecord | undefined;
  /** The number of sends so far. */
  sends = 0;
  private readonly excluded = new Set<string>();
  private runs = 0;
  private notRun = 0;
  /** The last failure that an endpoint answered, and the last loss. */
  private lastAnswer: PlainAnswer | undefined;
  private lastLoss: KnownError | undefined;
  private mayHaveRun = false;
  private hasChosen = false;
  private readonly holds: SendHolds;
  private readonly suspect: SuspectRunAdmission;
  private isContentBusy = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
  ) {
    this.holds = new SendHolds(parts);
    this.suspect = new SuspectRunAdmission(parts, request);
  }

  /** Sends until there is a final answer; returns its outcome for metrics. */
  async run(): Promise<string> {
    try {
      return await this.runSends();
    } finally {
      this.suspect.close();
    }
  }

  private async runSends(): Promise<string> {
    const {request, service} = this;
    const {signal} = request.exchange;
    const {paths, client, begunRequests} = this.parts;
    for (;;) {
      if (paths.isPartitioned(service)) {
        const outcome = await this.sendRelayed();
        if (outcome !== undefined) return outcome;
        continue;
      }
      const admission = await this.suspect.admit(signal, MAX_BUSY_WAIT_MS);
      this.isContentBusy = admission === 'busy';
      if (admission !== 'admitted') {
        return this.findEarlyOutcome() ?? this.finish();
      }
      const endpoint = this.chooseEndpoint();
      if (endpoint === undefined && paths.isPartitioned(service)) continue;
      if (endpoint === undefined) return this.finish();
      const earlyOutcome = this.findEarlyOutcome();
      if (earlyOutcome !== undefined) return earlyOutcome;
      const permit = await client.admit(endpoint, 'usual');
      if (permit.kind === 'held') {
        // Another endpoint may have capacity; this one is at its limit.
        this.holds.add(permit);
        this.excluded.add(endpoint.instanceId);
        continue;
      }
      const result = await begunRequests.watchCall(request.team, () =>
        this.send(endpoint, permit),
      );
      if (request.exchange.hasDisconnected()) return 'left';
      this.recordResult(endpoint, result);
      await this.checkEndpointExit(endpoint, result);
      if (request.exchange.isExpired) return this.finishExpired();
      if (!(await this.tryRetry(result))) return this.finish();
      await checkPath(this.parts, service, result);
    }
  }

  /**
   * Sends the call through another host; returns the outcome, or undefined if
   * the call may be sent again.
   */
  private async sendRelayed(): Promise<string | undefined> {
    const {parts, request, route, service} = this;
    const {exchange} = request;
    // The other host needs the lease itself.
    this.suspect.close();
    if (exchange.hop !== undefined) return this.finish();
    const maxRuns = route.maxAttempts - this.runs;
    const relayed = {request, route, service, maxRuns, resumption: undefined};
    const result = await sendRelayedCall(parts, relayed);
    if (exchange.hasDisconnected()) return 'left';
    if (result.kind === 'answer') {
      // A refusal would say that the call has not run.
      if (!result.isSigned && this.mayHaveRun) return this.finish();
      return passRelayedAnswer(exchange, result);
    }
    // Before the time is checked, as an expired call may have run.
    if (result.kind === 'lost') this.recordPossibleRun(result.detail);
    if (exchange.isExpired) return this.finishExpired();
    if (result.kind === 'none') return this.finish();
    const lost = {...result, mayHaveRun: true};
    return (await this.tryRetry(lost)) ? undefined : this.finish();
  }

  private recordPossibleRun(detail: string): void {
    this.runs++;
    this.mayHaveRun = true;
    this.lastLoss = GATEWAY_ERRORS.create('answer_lost', {detail});
  }

  /** Returns the outcome if the caller disconnected or the time expired. */
  private findEarlyOutcome(): string | undefined {
    const {exchange} = this.request;
    if (exchange.hasDisconnected()) return 'left';
    return exchange.isExpired ? this.finishExpired() : undefined;
  }

  private chooseEndpoint(): EndpointRecord | undefined {
    const {gate, rollouts} = this.parts;
    const isFirst = !this.hasChosen;
    this.hasChosen = true;
    const trialEndpoints = isFirst
      ? rollouts.takeTrial(this.service)
      : undefined;
    const usable =
      trialEndpoints ?? listLiveEndpoints(this.parts, this.service);
    const unconfirmed = isFirst ? gate.takeUnconfirmed(usable) : undefined;
    if (unconfirmed !== undefined) return unconfirmed;
    const {random, endpoints} = this.parts;
    const {position} = endpoints.peers;
    const getSpread = (): number => getRandomFraction(random);
    return choosePlainEndpoint(usable, this.excluded, getSpread, position);
  }

  private async send(
    endpoint: EndpointRecord,
    permit: SendPermit,
  ): Promise<PlainAnswerResult> {
    const {exchange, requestId, lines, metadata, team, body} = this.request;
    this.lastEndpoint = endpoint;
    this.sends++;
    const claim: UseClaim = {running: 1, unreadTokens: 0, expectedTokens: 0};
    endpoint.addClaim(claim);
    const sentAt = this.parts.clock.getNow();
    try {
      const answer = await this.parts.client.send({
        permit,
        requestId,
        method: exchange.method,
        path: exchange.path,
        lines: this.parts.codec.encodeRequest(lines, {
          endpointId: endpoint.endpointId,
          team,
          remainingMs: computeRemainingMs(this.request, this.route, sentAt),
          lastEventId: metadata.lastEventId,
          backupAddress: undefined,
          kvCacheSource: undefined,
        }),
        body,
        signal: exchange.signal,
      });
      if (answer.kind === 'lost') return answer;
      const result = await this.readAnswer(endpoint, answer, requestId);
      if (result.kind !== 'lost') {
        const ms = this.parts.clock.getNow() - sentAt;
        endpoint.recordSuccess(ms);
        const {rollouts} = this.parts;
        recordRolloutAnswer(rollouts, endpoint, this.route.name, result, ms);
      }
      return result;
    } finally {
      endpoint.releaseClaim(claim);
    }
  }

  private async readAnswer(
    endpoint: EndpointRecord,
    answer: EndpointResponse,
    requestId: string,
  ): Promise<PlainAnswerResult> {
    const fault = findResponseFault(answer, requestId);
    if (fault !== undefined) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: fault};
    }
    if (answer.metadata.load !== undefined) {
      endpoint.recordLoad(answer.metadata.load);
    }
    return readPlainAnswer(this.parts.endpoints, endpoint, answer);
  }

  /** Updates the state of endpoint and request with the result of a send. */
  private recordResult(
    endpoint: EndpointRecord,
    result: PlainAnswerResult,
  ): void {
    const {log, metrics} = this.parts;
    this.excluded.add(endpoint.instanceId);
    if (result.kind === 'whole') {
      this.runs++;
      this.mayHaveRun = true;
      this.lastAnswer = result.answer;
      if (result.answer.status >= MIN_SERVER_ERROR_STATUS) {
        endpoint.recordFailure(FAILURE_WEIGHTS.failed);
      }
      return;
    }
    const mayHaveRun = result.kind === 'lost' && result.mayHaveRun;
    recordEndpointFailure(this.parts.endpoints, endpoint, result.kind);
    if (mayHaveRun) this.recordPossibleRun(result.detail);
    else this.notRun++;
    metrics.losses.inc({reason: mayHaveRun ? 'lost' : 'refused'});
    log.writeInfo('A call got no usable answer.', {
      request: this.request.requestId,
      content: this.request.content,
      endpoint: endpoint.instanceId,
      address: endpoint.address,
      mayHaveRun,
      detail: result.detail,
    });
  }

  /**
   * Checks whether the endpoint of a lost call exited. Only a call whose
   * content has crashed endpoints before waits for the result.
   */
  private async checkEndpointExit(
    endpoint: EndpointRecord,
    result: PlainAnswerResult,
  ): Promise<void> {
    const {lostRuns} = this.parts;
    const {requestId, content, exchange} = this.request;
    if (result.kind === 'whole') {
      if (result.answer.status < MIN_SERVER_ERROR_STATUS) {
        lostRuns.recordCompletion(content);
      }
      return;
    }
    if (result.kind !== 'lost' || !result.mayHaveRun) return;
    // This host aborted the send when the time limit expired.
    if (exchange.isExpired) return;
    const run = {requestId, content, endpoint, wasSilent: false};
    await lostRuns.record(run, 0, exchange.signal);
  }

  /** Whether the content crashed too many endpoints, here or on other hosts. */
  private get isRefused(): boolean {
    return this.parts.crashes.isRefused(this.request.content);
  }

  /** Takes a retry of the call; false if there is none. */
  private async tryRetry(result: PlainAnswerResult): Promise<boolean> {
    const {route} = this;
    if (this.notRun > MAX_NOT_RUN_SENDS) return false;
    const isWhole = result.kind === 'whole';
    if (isWhole && result.answer.status < MIN_SERVER_ERROR_STATUS) return false;
    const hasRun = isWhole || (result.kind === 'lost' && result.mayHaveRun);
    if (hasRun && route.kind === 'once') return false;
    if (this.isRefused) return false;
    if (this.runs >= route.maxAttempts) return false;
    const now = this.parts.clock.getNow();
    if (computeRemainingMs(this.request, route, now) < MIN_REMAINING_MS) {
      return false;
    }
    const {retryBudgets} = this.parts;
    if (!retryBudgets.isCounted(result)) return true;
    await retryBudgets.loadUse(this.service);
    return retryBudgets.takeRetry(this.service);
  }

  /** An answer of an endpoint goes before errors of this host. */
  private finish(): string {
    const {exchange, content} = this.request;
    const {lastAnswer, lastLoss} = this;
    const isLost = lastAnswer === undefined || lastLoss !== undefined;
    if (isLost && this.isRefused) {
      const error = createRefusedError(content, this.mayHaveRun);
      exchange.refuse(error);
      this.recordRefusal(error);
      return this.mayHaveRun ? 'lost' : 'refused';
    }
    if (lastAnswer !== undefined) {
      exchange.sendAnswer(lastAnswer);
      return lastAnswer.status >= MIN_SERVER_ERROR_STATUS
        ? 'failed'
        : 'answered';
    }
    const error = lastLoss ?? this.createNotSentError();
    exchange.refuse(error);
    this.recordRefusal(error);
    return lastLoss === undefined ? 'refused' : 'lost';
  }

  private createNotSentError(): KnownError {
    const {content} = this.request;
    const {random, paths} = this.parts;
    if (this.isContentBusy) return createBusyError(content, random);
    if (paths.isPartitioned(this.service)) {
      return createNotRunError('endpoints_unreachable', this.service, random);
    }
    return this.holds.createError(this.service);
  }

  private finishExpired(): string {
    if (this.lastAnswer !== undefined) return this.finish();
    const {service, route, parts, mayHaveRun, request} = this;
    const {random} = parts;
    const error = createTimeError(request, route, service, mayHaveRun, random);
    this.request.exchange.refuse(error);
    this.recordRefusal(error);
    return 'expired';
  }

  private recordRefusal(error: KnownError): void {
    this.parts.log.writeInfo('A call ended with an error.', {
      request: this.request.requestId,
      service: this.service,
      kind: error.kind,
      runs: this.runs,
      notRun: this.notRun,
      ...this.holds.listFields(),
    });
  }
}

/** A retry with less time left than this would not be answered, in ms. */
const MIN_REMAINING_MS = 30;
