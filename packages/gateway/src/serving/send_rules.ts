/** Rules and errors that the drivers of calls and of streams share. */
import type {KnownError, Random} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import {decideRetryAfter} from './retry_after.js';
import type {ServingParts} from './serving_parts.js';

/**
 * How much the result of a send adds to the failure score of its endpoint. A
 * refusal counts little, as the endpoint may just be full; so does an error
 * status, as the request may be its cause.
 */
export const FAILURE_WEIGHTS = {lost: 1, refused: 0.15, failed: 0.3} as const;

/**
 * Adds a send without a usable answer to the failure score of its endpoint. An
 * endpoint that asked for a pause is overloaded, which is no failure.
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
 * How long a request waits for another run of its suspected content, in ms. For
 * a longer wait, an error with Retry-After serves the caller better.
 */
export const MAX_BUSY_WAIT_MS = 5000;

/**
 * Checks before a retry whether this host reaches any endpoint of a service,
 * unless the last send has reached one.
 */
export async function checkPath(
  {paths}: Pick<ServingParts, 'paths'>,
  service: string,
  result: {readonly kind: string; readonly mayHaveRun?: boolean},
): Promise<void> {
  if (result.kind !== 'lost' || result.mayHaveRun === true) return;
  await paths.check(service);
}

/** Computes the time left for a send by caller and route, in ms. */
export function computeRemainingMs(
  request: AdmittedRequest,
  route: ServingRoute,
  now: number,
): number {
  const routeDeadline = request.exchange.startedAt + route.timeoutMs;
  return Math.floor(Math.min(request.callerDeadline, routeDeadline) - now);
}

/** Creates the error for a request whose content crashes endpoints. */
export function createRefusedError(
  content: string,
  hasRun: boolean,
): KnownError {
  const kind = hasRun ? 'endpoints_ended' : 'content_refused';
  return GATEWAY_ERRORS.create(kind, {content});
}

/** Creates the error for a request whose suspected content runs elsewhere. */
export function createBusyError(content: string, random: Random): KnownError {
  const retryAfter = decideRetryAfter(random);
  return GATEWAY_ERRORS.create('content_busy', {content}, retryAfter);
}

/** Creates the error for a request whose time is over. */
export function createTimeError(
  {exchange}: AdmittedRequest,
  route: ServingRoute,
  service: string,
  mayHaveRun: boolean,
  random: Random,
): KnownError {
  const {isStopped} = exchange;
  if (!mayHaveRun) {
    const kind = isStopped ? 'leaving' : 'not_run_in_time';
    return createNotRunError(kind, service, random);
  }
  if (isStopped) return GATEWAY_ERRORS.create('host_stopped');
  return GATEWAY_ERRORS.create('timed_out', {ms: route.timeoutMs});
}

/** Creates the error for a request that no endpoint ran. */
export function createNotRunError(
  kind: 'endpoints_unreachable' | 'leaving' | 'no_endpoint' | 'not_run_in_time',
  service: string,
  random: Random,
): KnownError {
  return GATEWAY_ERRORS.create(kind, {service}, decideRetryAfter(random));
}
