/** Reads answers that are not event streams, and whether their requests ran. */
import {
  MISDIRECTED_STATUS,
  type EndpointResponse,
} from '../channels/endpoint_client.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import {readAnswerBody} from './answer_body.js';
import type {PlainAnswer} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';

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
  const body = await readAnswerBody(answer);
  if (status === MISDIRECTED_STATUS) {
    endpoints.reportReplaced(endpoint, metadata.endpointId);
    return {kind: 'refused', detail: 'another instance answers there'};
  }
  if (metadata.isNotRun) return {kind: 'refused', detail: `status ${status}`};
  if (body === undefined) {
    answer.close();
    return {kind: 'lost', mayHaveRun: true, detail: 'its body was cut'};
  }
  return {kind: 'whole', answer: {status, lines, body, isFramed}};
}
