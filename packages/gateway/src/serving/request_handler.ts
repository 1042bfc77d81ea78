/**
 * Takes a caller's request, checks it against the configuration in force, and
 * gives it to the driver of its kind.
 */
import {chooseShare} from '@irisdock/decisions';
import type {KnownError} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import {CallDriver} from './call_driver.js';
import type {AdmittedRequest, CallerExchange} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import {hashContent} from './request_content.js';
import {decideRetryAfter} from './retry_after.js';
import {createNotRun, createRefused} from './send_rules.js';
import {getRandomFraction, type ServingParts} from './serving_parts.js';
import {StreamDriver} from './stream_driver.js';

const MILLI = 1000;

/** What the handler asks of its host. */
export interface HostState {
  /** Whether a stream that begins now could not be finished here. */
  readonly isTooLateForStreams: boolean;
  readonly isLeaving: boolean;
  /** Whether this host may have missed a change of the configuration. */
  readonly mayBeBehind: boolean;
}

/** Handles requests. */
export class RequestHandler {
  constructor(
    private readonly parts: ServingParts,
    private readonly prober: EndpointProber,
    private readonly host: HostState,
  ) {}

  /** Handles one request to its final answer. */
  async handle(exchange: CallerExchange): Promise<void> {
    if (this.host.isLeaving) exchange.closeAfterAnswer();
    const {configuration} = this.parts;
    if (!configuration.isLoaded) {
      this.refuse(exchange, this.createRetryable('no_configuration'));
      return;
    }
    const route = configuration.findRoute(exchange.hostHeader, exchange.path);
    if (route === undefined) {
      this.refuseUnknown(exchange, 'no_route');
      return;
    }
    const request = await this.admit(exchange, route);
    if (request === undefined) return;
    const service = this.chooseService(route);
    if (service === undefined) {
      const {random} = this.parts;
      const error = createNotRun('no_endpoint', route.name, random);
      this.refuse(exchange, error);
      return;
    }
    // What ended endpoints under other ids, here or at other hosts, would end
    // more: no bound on one try of a caller can see that.
    const {content} = request;
    if (this.parts.crashes.isRefused(content)) {
      this.refuse(exchange, createRefused(content, false));
      return;
    }
    await this.drive(request, route, service);
  }

  private async drive(
    request: AdmittedRequest,
    route: ServingRoute,
    service: string,
  ): Promise<void> {
    const {parts} = this;
    const {exchange} = request;
    const startedAt = exchange.startedAt;
    parts.retryBudgets.recordRequest(service);
    parts.rollouts.recordRequest(service);
    const isStream = route.kind === 'stream';
    if (isStream && this.host.isTooLateForStreams) {
      this.refuse(exchange, this.createRetryable('leaving'));
      return;
    }
    const left = Math.min(startedAt + route.timeoutMs, request.callerDeadline);
    exchange.setTimeLimit(left - parts.clock.getNow());
    const driver = isStream
      ? new StreamDriver(parts, this.prober, request, route, service)
      : new CallDriver(parts, request, route, service);
    const outcome = await driver.run();
    const {lastEndpoint: endpoint, sends} = driver;
    const {kind} = route;
    parts.metrics.requests.inc({kind, outcome});
    const seconds = (parts.clock.getNow() - startedAt) / MILLI;
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
      outcome,
      ms: Math.round(seconds * MILLI),
      ...(driver instanceof StreamDriver ? driver.listFigures() : {}),
    });
  }

  /** Checks key, id and body; refuses and gives undefined when one is bad. */
  private async admit(
    exchange: CallerExchange,
    route: ServingRoute,
  ): Promise<AdmittedRequest | undefined> {
    const {codec, configuration} = this.parts;
    const terms = codec.decodeRequest(exchange.lines);
    const found = configuration.findTeam(terms.key, route);
    if (found.kind === 'unknown') {
      this.refuseUnknown(exchange, 'unknown_key');
      return undefined;
    }
    const {requestId, remainingMs} = terms;
    if (requestId === undefined) {
      this.refuse(exchange, GATEWAY_ERRORS.create('no_request_id'));
      return undefined;
    }
    const limit = configuration.limits.maxBodyBytes;
    const body = await exchange.readBody(limit);
    if (body === 'cut') return undefined;
    if (body === 'too-large') {
      this.refuse(exchange, GATEWAY_ERRORS.create('body_too_large', {limit}));
      return undefined;
    }
    const team = found.kind === 'known' ? found.team : undefined;
    const callerUntil = exchange.startedAt + (remainingMs ?? Infinity);
    const content = hashContent(team, exchange.path, body);
    return {
      exchange,
      requestId,
      terms,
      team,
      body,
      content,
      callerDeadline: callerUntil,
    };
  }

  private chooseService(route: ServingRoute): string | undefined {
    const only = route.shares[0];
    if (route.shares.length === 1) return only?.service;
    return chooseShare(route.shares, getRandomFraction(this.parts.random))
      ?.service;
  }

  /**
   * Refuses for good what no route or key allows; a host that may be behind
   * says only that another one may know more.
   */
  private refuseUnknown(
    exchange: CallerExchange,
    kind: 'no_route' | 'unknown_key',
  ): void {
    if (this.host.mayBeBehind) {
      this.refuse(exchange, this.createRetryable('old_configuration'));
      return;
    }
    const host = exchange.hostHeader;
    this.refuse(exchange, GATEWAY_ERRORS.create(kind, {host}));
  }

  private createRetryable(
    kind: 'leaving' | 'no_configuration' | 'old_configuration',
  ): KnownError {
    return GATEWAY_ERRORS.create(kind, {}, decideRetryAfter(this.parts.random));
  }

  private refuse(exchange: CallerExchange, error: KnownError): void {
    exchange.refuse(error, this.host.isLeaving);
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
