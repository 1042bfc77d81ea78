/**
 * Handles a caller's request: validates it against the current configuration
 * and runs the driver for calls or for streams.
 */
import {getErrorText, type KnownError} from '@irisdock/kernel';
import {dropHopByHopHeaders} from '../channels/header_lines.js';
import {GATEWAY_ERRORS} from '../errors.js';
import type {RelayHop} from '../model/relay_path.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import {CallTimes} from './call_times.js';
import {CallDriver} from './call_driver.js';
import type {AdmittedRequest, CallerExchange} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import {hashContent} from './request_content.js';
import {DECLINED_LINE} from './request_relay.js';
import {decideRetryAfter} from './retry_after.js';
import {
  computeRemainingMs,
  createNotRunError,
  createRefusedError,
} from './send_rules.js';
import type {ServingMetrics} from './serving_metrics.js';
import {chooseService} from './service_choice.js';
import type {ServingParts} from './serving_parts.js';
import {StreamDriver} from './stream_driver.js';

const MS_PER_SECOND = 1000;

/** Refusals due to this host; another one may serve a relayed request. */
const HOST_REFUSALS: ReadonlySet<string> = new Set([
  'endpoints_unreachable',
  'leaving',
  'memory_full',
  'no_configuration',
  'no_route',
  'old_configuration',
  'starting',
  'unknown_key',
]);

/** Outcomes of calls that ended after a send. */
const TIMED_OUTCOMES: ReadonlySet<string> = new Set([
  'answered',
  'expired',
  'failed',
  'lost',
]);

/** The state of the host that runs the handler. */
export interface HostState {
  /** Whether the host will stop before a stream that starts now could end. */
  readonly isTooLateForStreams: boolean;
  /** How much longer requests may run, in ms; Infinity if it won't stop. */
  readonly workLeftMs: number;
  readonly isLeaving: boolean;
  /** Whether this host has what it needs to serve. */
  readonly canServe: boolean;
  /** Whether this host's configuration may be out of date. */
  readonly mayBeBehind: boolean;
}

/** Handles the requests of callers. */
export class RequestHandler {
  private readonly callTimes = new CallTimes();

  constructor(
    private readonly parts: ServingParts,
    private readonly prober: EndpointProber,
    private readonly host: HostState,
  ) {}

  get metrics(): ServingMetrics {
    return this.parts.metrics;
  }

  /** Handles one request to its final answer. */
  async handle(exchange: CallerExchange): Promise<void> {
    if (this.host.isLeaving) exchange.closeAfterAnswer();
    if (this.host.workLeftMs <= 0) {
      this.refuse(exchange, this.createRetryableError('leaving'));
      return;
    }
    const {hostFault: detail} = exchange;
    if (detail !== undefined) {
      this.refuse(
        exchange,
        GATEWAY_ERRORS.create('malformed_request', {detail}),
      );
      return;
    }
    const {configuration} = this.parts;
    if (!configuration.isLoaded) {
      this.refuse(exchange, this.createRetryableError('no_configuration'));
      return;
    }
    if (!this.host.canServe) {
      this.refuse(exchange, this.createRetryableError('starting'));
      return;
    }
    const found = configuration.findRoute(exchange.hostHeader, exchange.path);
    if (found === undefined) {
      this.refuseUnknown(exchange, 'no_route');
      return;
    }
    const route = clampRuns(found, exchange.hop);
    const request = await this.admit(exchange, route);
    if (request === undefined) return;
    const chosen = await chooseService(this.parts, route, request);
    if (chosen.isErr()) {
      this.refuse(exchange, chosen.error);
      return;
    }
    // The content may have crashed endpoints under other request ids, here or
    // on other hosts. The limits on one request's attempts don't count those.
    const {content} = request;
    if (this.parts.crashes.isRefused(content)) {
      this.refuse(exchange, createRefusedError(content, false));
      return;
    }
    await this.drive(request, route, chosen.value);
  }

  /** Ends a request whose handling threw. */
  fail(exchange: CallerExchange, thrown: unknown): void {
    const {log, metrics} = this.parts;
    const error = GATEWAY_ERRORS.create('internal_error');
    log.writeError('A request failed with an internal error.', {
      path: exchange.path,
      error: getErrorText(thrown),
    });
    metrics.requests.inc({kind: 'none', outcome: error.kind});
    exchange.fail(error);
  }

  /** Records the refusal of bytes that are no request. */
  recordMalformed({kind}: KnownError, caller: string | undefined): void {
    const {log, metrics} = this.parts;
    metrics.requests.inc({kind: 'none', outcome: kind});
    log.writeInfo('A request was refused.', {kind, caller});
  }

  private async drive(
    request: AdmittedRequest,
    route: ServingRoute,
    service: string,
  ): Promise<void> {
    const {parts} = this;
    const {exchange} = request;
    const startedAt = exchange.startedAt;
    const isPartitioned = parts.paths.isPartitioned(service);
    if (isPartitioned && exchange.hop !== undefined) {
      const kind = 'endpoints_unreachable';
      this.refuse(exchange, createNotRunError(kind, service, parts.random));
      return;
    }
    if (!isPartitioned) {
      parts.retryBudgets.recordRequest(service);
      parts.rollouts.recordRequest(service);
    }
    const isStream = route.kind === 'stream';
    const isTooLate = isStream
      ? this.host.isTooLateForStreams
      : this.isTooLateForCall(request, route);
    if (isTooLate) {
      this.refuse(exchange, this.createRetryableError('leaving'));
      return;
    }
    const driver = isStream
      ? new StreamDriver(parts, this.prober, request, route, service)
      : new CallDriver(parts, request, route, service);
    const endRequest = parts.demand.startRequest(service);
    const outcome = await driver.run().finally(endRequest);
    const {lastEndpoint: endpoint, sends} = driver;
    const {kind} = route;
    parts.metrics.requests.inc({kind, outcome});
    const seconds = (parts.clock.getNow() - startedAt) / MS_PER_SECOND;
    if (!isStream && TIMED_OUTCOMES.has(outcome) && !exchange.isStopped) {
      this.callTimes.record(route.name, seconds * MS_PER_SECOND);
    }
    if (isStream && sends === 0) {
      // It would have been read if there had been an engine for it.
      parts.demand.recordPrompt(service, request.metadata.promptTokens);
    }
    if (!isStream && outcome === 'answered') {
      parts.metrics.answerSeconds.observe({kind}, seconds);
    }
    parts.log.writeInfo('A request ended.', {
      request: request.requestId,
      content: request.content,
      route: route.name,
      service,
      version: parts.configuration.version,
      endpoint: endpoint?.instanceId,
      address: endpoint?.address,
      sends,
      relayedBy: exchange.hop?.from,
      outcome,
      ms: Math.round(seconds * MS_PER_SECOND),
      ...(driver instanceof StreamDriver ? driver.listFigures() : {}),
    });
  }

  /** Whether the host may stop before a call that starts now ends. */
  private isTooLateForCall(
    request: AdmittedRequest,
    route: ServingRoute,
  ): boolean {
    const {workLeftMs} = this.host;
    if (workLeftMs === Infinity) return false;
    const now = this.parts.clock.getNow();
    const remainingMs = computeRemainingMs(request, route, now);
    const longestMs = this.callTimes.getLongestMs(route.name);
    return workLeftMs < Math.min(longestMs, remainingMs);
  }

  /** Validates key, id and body; refuses the request if one is invalid. */
  private async admit(
    exchange: CallerExchange,
    route: ServingRoute,
  ): Promise<AdmittedRequest | undefined> {
    const {codec, configuration} = this.parts;
    const metadata = codec.decodeRequest(exchange.lines);
    const {conflictingHeader: header} = metadata;
    if (header !== undefined) {
      this.refuse(
        exchange,
        GATEWAY_ERRORS.create('conflicting_header', {header}),
      );
      return undefined;
    }
    const teamLookup = configuration.findTeam(metadata.key, route);
    if (teamLookup.kind === 'unknown') {
      this.refuseUnknown(exchange, 'unknown_key');
      return undefined;
    }
    if (teamLookup.kind === 'unusable') {
      this.refuse(exchange, this.createRetryableError('team_unusable'));
      return undefined;
    }
    const {requestId, remainingMs} = metadata;
    if (requestId === undefined) {
      this.refuse(exchange, GATEWAY_ERRORS.create('no_request_id'));
      return undefined;
    }
    const {startedAt} = exchange;
    const callerDeadline = startedAt + (remainingMs ?? Infinity);
    const deadline = Math.min(startedAt + route.timeoutMs, callerDeadline);
    exchange.setTimeLimit(deadline - this.parts.clock.getNow());
    const body = await this.readBody(exchange);
    if (body === undefined) return undefined;
    const team = teamLookup.kind === 'known' ? teamLookup.team : undefined;
    const content = hashContent(team, exchange.path, body);
    const lines = dropHopByHopHeaders(exchange.lines, (name) =>
      codec.isEndToEnd(name),
    );
    return {
      exchange,
      requestId,
      lines,
      metadata,
      team,
      body,
      content,
      callerDeadline,
    };
  }

  /** Reads the body; refuses the request if it is too large or too late. */
  private async readBody(
    exchange: CallerExchange,
  ): Promise<Buffer | undefined> {
    const limit = this.parts.configuration.limits.maxBodyBytes;
    const body = await exchange.readBody(limit, this.parts.bodies);
    if (body instanceof Buffer) return body;
    if (body === 'too-large') {
      this.refuse(exchange, GATEWAY_ERRORS.create('body_too_large', {limit}));
    } else if (body === 'no-memory') {
      this.refuse(exchange, this.createRetryableError('memory_full'));
    } else if (exchange.requestFault !== undefined) {
      this.refuse(exchange, exchange.requestFault);
    } else if (exchange.isStopped) {
      this.refuse(exchange, this.createRetryableError('leaving'));
    } else if (exchange.isExpired) {
      this.refuse(exchange, GATEWAY_ERRORS.create('body_late'));
    }
    return undefined;
  }

  /**
   * Refuses a request that matches no route or key. A host whose configuration
   * may be out of date sends a retryable error, as another host may know it.
   */
  private refuseUnknown(
    exchange: CallerExchange,
    kind: 'no_route' | 'unknown_key',
  ): void {
    if (this.host.mayBeBehind) {
      this.refuse(exchange, this.createRetryableError('old_configuration'));
      return;
    }
    const host = exchange.hostHeader;
    this.refuse(exchange, GATEWAY_ERRORS.create(kind, {host}));
  }

  private createRetryableError(
    kind:
      | 'starting'
      | 'leaving'
      | 'memory_full'
      | 'no_configuration'
      | 'old_configuration'
      | 'team_unusable',
  ): KnownError {
    return GATEWAY_ERRORS.create(kind, {}, decideRetryAfter(this.parts.random));
  }

  private refuse(exchange: CallerExchange, error: KnownError): void {
    const isDeclined =
      exchange.hop !== undefined && HOST_REFUSALS.has(error.kind);
    const lines = isDeclined ? [DECLINED_LINE] : [];
    exchange.refuse(error, lines);
    this.parts.metrics.requests.inc({kind: 'none', outcome: error.kind});
    const {requestId} = this.parts.codec.decodeRequest(exchange.lines);
    this.parts.log.writeInfo('A request was refused.', {
      request: requestId,
      kind: error.kind,
      path: exchange.path,
      version: this.parts.configuration.version,
    });
  }
}

/** Limits the runs of a relayed request to those that are left to it. */
function clampRuns(
  route: ServingRoute,
  hop: RelayHop | undefined,
): ServingRoute {
  if (hop === undefined) return route;
  const maxAttempts = Math.min(route.maxAttempts, hop.maxRuns);
  return {...route, maxAttempts};
}
