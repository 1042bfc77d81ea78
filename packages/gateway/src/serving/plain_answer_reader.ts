/** Reads answers that are not event streams, and whether their requests ran. */
import type {EndpointResponse} from '../channels/endpoint_client.js';
import {
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_STATUS,
} from '../channels/response_check.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import type {PlainAnswer} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {Rollouts} from './rollouts.js';
import {recordEndpointFailure} from './send_rules.js';

/** The result of a request with a plain answer. */
export type PlainAnswerResult =
  /** The endpoint did not run the request. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The request has no usable answer; it may have run. */
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly detail: string;
    }
  | {readonly kind: 'whole'; readonly answer: PlainAnswer};

/** Reads a plain answer to its end. */
export async function readPlainAnswer(
  endpoints: GatewayEndpoints,
  endpoint: EndpointRecord,
  answer: EndpointResponse,
): Promise<PlainAnswerResult> {
  const {status, metadata, lines, isFramed} = answer;
  if (status === MISDIRECTED_STATUS) {
    await answer.dropBody();
    endpoints.reportReplaced(endpoint, metadata.endpointId);
    return {kind: 'refused', detail: 'another instance answers there'};
  }
  if (metadata.isNotRun) {
    const dropped = await answer.dropBody();
    if (dropped === 'too-long') {
      recordEndpointFailure(endpoints, endpoint, 'lost');
    }
    const ending = dropped === 'ended' ? '' : ', its body did not end';
    return {kind: 'refused', detail: `status ${status}${ending}`};
  }
  const body = await answer.readBody();
  if (body.isErr()) {
    return {kind: 'lost', mayHaveRun: true, detail: body.error};
  }
  return {kind: 'whole', answer: {status, lines, body: body.value, isFramed}};
}

/** Counts a whole answer for the rollout of its service, if there is one. */
export function recordRolloutAnswer(
  rollouts: Rollouts,
  endpoint: EndpointRecord,
  route: string,
  result: PlainAnswerResult,
  ms: number,
): void {
  if (result.kind !== 'whole') return;
  const isFailed = result.answer.status >= MIN_SERVER_ERROR_STATUS;
  rollouts.recordAnswer(endpoint, {route, isFailed, ms});
}
