/** What an answer that is no event stream says of its request. */
import {
  MISDIRECTED_STATUS,
  type EndpointResponse,
} from '../channels/endpoint_client.js';
import type {GatewayEndpoints} from '../services/gateway_endpoints.js';
import {readAnswerBody} from './answer_body.js';
import type {PlainAnswer} from './caller_exchange.js';
import type {EndpointRecord} from './endpoint_record.js';

/** The reading. */
export type PlainAnswerResult =
  /** The endpoint did not run it. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** It ran or may have run, and its answer cannot be used. */
  | {
      readonly kind: 'lost';
      readonly mayHaveRun: boolean;
      readonly detail: string;
    }
  | {readonly kind: 'whole'; readonly answer: PlainAnswer};

/** Reads an answer to its end. */
export async function readPlainAnswer(
  endpoints: GatewayEndpoints,
  endpoint: EndpointRecord,
  answer: EndpointResponse,
): Promise<PlainAnswerResult> {
  const {status, metadata: terms, lines, isFramed} = answer;
  const body = await readAnswerBody(answer);
  if (status === MISDIRECTED_STATUS) {
    endpoints.reportReplaced(endpoint, terms.endpointId);
    return {kind: 'refused', detail: 'another instance answers there'};
  }
  if (terms.isNotRun) return {kind: 'refused', detail: `status ${status}`};
  if (body === undefined) {
    answer.close();
    return {kind: 'lost', mayHaveRun: true, detail: 'its body was cut'};
  }
  return {kind: 'whole', answer: {status, lines, body, isFramed}};
}
