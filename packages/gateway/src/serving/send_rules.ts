/** What the drivers of calls and of streams share about their sends. */
import type {KnownError, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import {decideRetryAfter} from './retry_after.js';

/**
 * How much what became of a send counts against its endpoint, beside 1 for a
 * lost connection: a full endpoint is no failed one, and a failure of its own
 * may be the request's.
 */
export const FAILURE_WEIGHTS = {lost: 1, refused: 0.15, failed: 0.3} as const;

/**
 * Counts a send without an answer that can be used against its endpoint. One that
 * asked for a pause is overloaded; it has not failed.
 */
export function recordEndpointFailure(
  endpoints: Pick<GatewayEndpoints, 'isPaused'>,
  endpoint: EndpointRecord,
  kind: keyof typeof FAILURE_WEIGHTS,
): void {
  if (kind === 'refused' && endpoints.isPaused(endpoint)) return;
  endpoint.recordFailure(FAILURE_WEIGHTS[kind]);
}

/**
 * The longest wait of a request for another run of its suspected content, in ms.
 * The caller of a longer one is served better by an answer and a time to return.
 */
export const MAX_BUSY_WAIT_MS = 5000;

/** Gives the time that is left for a send, by caller and route, in ms. */
export function computeRemainingMs(
  request: AdmittedRequest,
  route: ServingRoute,
  now: number,
): number {
  const routeUntil = request.exchange.startedAt + route.timeoutMs;
  return Math.floor(Math.min(request.callerDeadline, routeUntil) - now);
}

/** Creates the error for a request whose content ended its endpoints. */
export function createRefused(content: string, hasRun: boolean): KnownError {
  const kind = hasRun ? 'endpoints_ended' : 'content_refused';
  return GATEWAY_ERRORS.create(kind, {content});
}

/** Creates the error for a request whose content runs elsewhere. */
export function createBusy(content: string, random: Random): KnownError {
  const returnTime = decideRetryAfter(random);
  return GATEWAY_ERRORS.create('content_busy', {content}, returnTime);
}

/** Creates the error for a request that no endpoint ran. */
export function createNotRun(
  kind: 'no_endpoint' | 'not_run_in_time',
  service: string,
  random: Random,
): KnownError {
  return GATEWAY_ERRORS.create(kind, {service}, decideRetryAfter(random));
}
