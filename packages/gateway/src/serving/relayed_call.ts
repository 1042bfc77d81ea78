/** Relays one call to another host, and to the next one if it did not run. */
import type {
  EndpointFailure,
  EndpointResponse,
} from '../channels/endpoint_client.js';
import {
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_STATUS,
  findResponseFault,
} from '../channels/response_check.js';
import type {CallerExchange, PlainAnswer} from './caller_exchange.js';
import {decodeFraming} from './relayed_framing.js';
import {
  MAX_RELAY_HOSTS,
  type RelayedRequest,
  type RelayHost,
} from './request_relay.js';
import type {ServingParts} from './serving_parts.js';

/** The answer or the final refusal of a call, as another host sent it. */
export interface RelayedAnswer {
  readonly kind: 'answer';
  readonly answer: PlainAnswer;
  /** Whether it is the answer of an endpoint. */
  readonly isSigned: boolean;
}

/** The result of relaying a call. */
export type RelayedCallResult =
  | RelayedAnswer
  /** There is no usable answer; the call may have run. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** No host could take the call; it has not run. */
  | {readonly kind: 'none'};

/** Relays a call until a host has taken it. */
export async function sendRelayedCall(
  parts: ServingParts,
  relayed: RelayedRequest,
): Promise<RelayedCallResult> {
  const {relay} = parts;
  const {service, request} = relayed;
  const tried = new Set<string>();
  while (tried.size < MAX_RELAY_HOSTS) {
    const host = relay.choose(service, tried);
    if (host === undefined || request.exchange.signal.aborted) break;
    tried.add(host.name);
    const result = await relay.countSend(host, () =>
      sendToHost(parts, relayed, host),
    );
    if (result.kind === 'declined') {
      relay.recordDecline(host, service, result.status);
      continue;
    }
    if (result.kind === 'lost') relay.dropResult(host, service);
    else relay.recordResult(host, service, true);
    return result;
  }
  return {kind: 'none'};
}

/** A call that a host did not take. */
interface DeclinedCall {
  readonly kind: 'declined';
  /** Undefined if the host did not answer. */
  readonly status: number | undefined;
}

/** Sends the call to one host. */
async function sendToHost(
  parts: ServingParts,
  relayed: RelayedRequest,
  host: RelayHost,
): Promise<RelayedCallResult | DeclinedCall> {
  const {relay, log, clock} = parts;
  const {requestId, exchange} = relayed.request;
  const startedAt = clock.getNow();
  const {signal} = exchange;
  const send = relay.createSend(host, relayed);
  const response = await relay.client.send({...send, signal});
  const result = await readResult(parts, response, requestId);
  log.writeInfo('Relayed a call to another host.', {
    request: requestId,
    to: host.name,
    result: result.kind,
    detail: response.kind === 'lost' ? response.detail : response.status,
    ms: Math.round(clock.getNow() - startedAt),
  });
  return result;
}

async function readResult(
  {relay}: ServingParts,
  response: EndpointFailure | EndpointResponse,
  requestId: string,
): Promise<RelayedCallResult | DeclinedCall> {
  if (response.kind === 'lost') {
    const {mayHaveRun, detail} = response;
    if (mayHaveRun) return {kind: 'lost', detail};
    return {kind: 'declined', status: undefined};
  }
  // Another process may have taken over the address of a lost host.
  const isMisdirected = response.status === MISDIRECTED_STATUS;
  if (relay.hasDeclined(response.lines) || isMisdirected) {
    await response.dropBody();
    const status = isMisdirected ? undefined : response.status;
    return {kind: 'declined', status};
  }
  const fault = findResponseFault(response, requestId);
  if (fault !== undefined) {
    response.close();
    return {kind: 'lost', detail: fault};
  }
  const {status, lines, isFramed, metadata} = response;
  const body = await response.readBody();
  if (body.isErr()) return {kind: 'lost', detail: body.error};
  const answer = decodeFraming({status, lines, body: body.value, isFramed});
  return {kind: 'answer', answer, isSigned: metadata.isSigned};
}

/** Passes an answer to the caller; returns the outcome for metrics. */
export function passRelayedAnswer(
  exchange: CallerExchange,
  {answer, isSigned}: RelayedAnswer,
): string {
  exchange.sendAnswer(answer);
  if (!isSigned) return 'refused';
  return answer.status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'answered';
}
