/**
 * Drives one call to a plain service to its one final answer. A call that may
 * not run twice is sent again only when the one before certainly did not run.
 */
import {choosePlainEndpoint} from '@irisdock/decisions';
import type {KnownError} from '@irisdock/kernel';
import {findAnswerFault} from '../channels/answer_check.js';
import type {
  EndpointAnswer,
  EndpointLoss,
} from '../channels/endpoint_client.js';
import {GATEWAY_ERRORS} from '../errors.js';
import type {HeaderLines} from '../model/request_terms.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import {readAnswerBody} from './answer_body.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord, UseClaim} from './endpoint_record.js';
import {decideRetryAfter} from './retry_after.js';
import {getRandomPart, type ServingParts} from './serving_parts.js';

/** A whole answer. */
interface WholeAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  readonly isFramed: boolean;
}

/** What became of one send. */
type SendResult =
  | EndpointLoss
  | WholeAnswer
  | {readonly kind: 'refused'; readonly detail: string};

/** Sends that certainly did not run may be repeated this often. */
const MAX_NOT_RUN = 3;
const FAILED_STATUS = 500;
const MISDIRECTED_STATUS = 421;
/** How much a refusal counts against an endpoint; a lost connection is 1. */
const REFUSED_WEIGHT = 0.15;
const FAILED_WEIGHT = 0.3;

/** Drives one call. */
export class CallDriver {
  /** The endpoint of the last send; undefined before the first. */
  lastEndpoint: EndpointRecord | undefined;
  /** Sends so far. */
  sends = 0;
  private readonly excluded = new Set<string>();
  private runs = 0;
  private notRun = 0;
  /** What is told when no further send is made. */
  private last: KnownError | WholeAnswer | undefined;
  private mayHaveRun = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
  ) {}

  /** Sends until there is a final answer; gives its outcome for the figures. */
  async run(): Promise<string> {
    for (;;) {
      const endpoint = this.chooseEndpoint();
      if (endpoint === undefined) return this.finish();
      const result = await this.send(endpoint);
      if (this.request.exchange.hasLeft()) return 'left';
      this.record(endpoint, result);
      if (this.request.exchange.isExpired) return this.finishExpired();
      if (!this.isRepeatAllowed(result)) return this.finish();
    }
  }

  private chooseEndpoint(): EndpointRecord | undefined {
    const usable = this.parts.endpoints.listUsable(this.service);
    return choosePlainEndpoint(usable, this.excluded, () =>
      getRandomPart(this.parts.random),
    );
  }

  private async send(endpoint: EndpointRecord): Promise<SendResult> {
    const {exchange, requestId, terms, team, body} = this.request;
    this.lastEndpoint = endpoint;
    this.sends++;
    const claim: UseClaim = {running: 1, unreadTokens: 0, expectedTokens: 0};
    endpoint.addClaim(claim);
    const sentAt = this.parts.clock.getNow();
    try {
      const answer = await this.parts.client.send({
        address: endpoint.address,
        method: exchange.method,
        path: exchange.path,
        lines: this.parts.codec.encodeSend(exchange.lines, {
          instanceId: endpoint.instanceId,
          team,
          remainingMs: this.getRemainingMs(sentAt),
          lastEventId: terms.lastEventId,
          backupAddress: undefined,
          memorySource: undefined,
        }),
        body,
        signal: exchange.signal,
      });
      if (answer.kind === 'lost') return answer;
      const result = await this.readAnswer(endpoint, answer, requestId);
      if (result.kind !== 'lost') {
        endpoint.recordSuccess(this.parts.clock.getNow() - sentAt);
      }
      return result;
    } finally {
      endpoint.dropClaim(claim);
    }
  }

  private async readAnswer(
    endpoint: EndpointRecord,
    answer: EndpointAnswer,
    requestId: string,
  ): Promise<SendResult> {
    const {status, terms, lines} = answer;
    const fault = findAnswerFault(answer, requestId);
    if (fault !== undefined) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: fault};
    }
    const body = await readAnswerBody(answer);
    if (terms.load !== undefined) endpoint.recordLoad(terms.load);
    if (status === MISDIRECTED_STATUS) {
      this.parts.endpoints.reportReplaced(endpoint);
      return {kind: 'refused', detail: 'another instance answers there'};
    }
    if (terms.isNotRun) return {kind: 'refused', detail: `status ${status}`};
    if (body === undefined) {
      answer.close();
      return {kind: 'lost', mayHaveRun: true, detail: 'its body was cut'};
    }
    const {isFramed} = answer;
    return {kind: 'whole', status, lines, body, isFramed};
  }

  /** Notes what a send says of the endpoint and of the request. */
  private record(endpoint: EndpointRecord, result: SendResult): void {
    const {log, metrics} = this.parts;
    this.excluded.add(endpoint.instanceId);
    if (result.kind === 'whole') {
      this.runs++;
      this.mayHaveRun = true;
      this.last = result;
      if (result.status >= FAILED_STATUS) endpoint.recordFailure(FAILED_WEIGHT);
      return;
    }
    const mayHaveRun = result.kind === 'lost' && result.mayHaveRun;
    endpoint.recordFailure(result.kind === 'lost' ? 1 : REFUSED_WEIGHT);
    if (mayHaveRun) {
      this.runs++;
      this.mayHaveRun = true;
      const {detail} = result;
      this.last = GATEWAY_ERRORS.create('answer_lost', {detail});
    } else {
      this.notRun++;
    }
    metrics.losses.inc({reason: mayHaveRun ? 'lost' : 'refused'});
    log.writeInfo('A call brought no answer.', {
      request: this.request.requestId,
      endpoint: endpoint.instanceId,
      address: endpoint.address,
      mayHaveRun,
      detail: result.detail,
    });
  }

  private isRepeatAllowed(result: SendResult): boolean {
    const {route} = this;
    if (this.notRun > MAX_NOT_RUN) return false;
    if (result.kind === 'whole' && result.status < FAILED_STATUS) return false;
    const hasRun =
      result.kind === 'whole' || (result.kind === 'lost' && result.mayHaveRun);
    if (hasRun && route.kind === 'once') return false;
    if (this.runs >= route.maxAttempts) return false;
    const now = this.parts.clock.getNow();
    if (this.getRemainingMs(now) < MIN_SEND_MS) return false;
    return this.parts.budgets.takeRepeat(this.service);
  }

  private finish(): string {
    const {exchange} = this.request;
    const {last} = this;
    if (last === undefined) {
      const {service} = this;
      const error = GATEWAY_ERRORS.create(
        'no_endpoint',
        {service},
        decideRetryAfter(this.parts.random),
      );
      exchange.refuse(error, false);
      this.recordRefusal(error);
      return 'refused';
    }
    if ('body' in last) {
      exchange.sendAnswer(last);
      return last.status >= FAILED_STATUS ? 'failed' : 'answered';
    }
    exchange.refuse(last, false);
    this.recordRefusal(last);
    return 'lost';
  }

  private finishExpired(): string {
    const {service, route} = this;
    const error = this.mayHaveRun
      ? GATEWAY_ERRORS.create('timed_out', {ms: route.timeoutMs})
      : GATEWAY_ERRORS.create(
          'not_run_in_time',
          {service},
          decideRetryAfter(this.parts.random),
        );
    this.request.exchange.refuse(error, false);
    this.recordRefusal(error);
    return 'expired';
  }

  private recordRefusal(error: KnownError): void {
    this.parts.log.writeInfo('A call was not answered.', {
      request: this.request.requestId,
      service: this.service,
      kind: error.kind,
      runs: this.runs,
      notRun: this.notRun,
    });
  }

  private getRemainingMs(now: number): number {
    const {callerUntil, exchange} = this.request;
    const routeUntil = exchange.startedAt + this.route.timeoutMs;
    return Math.floor(Math.min(callerUntil, routeUntil) - now);
  }
}

/** A send with less time than this would bring nothing, in ms. */
const MIN_SEND_MS = 30;
