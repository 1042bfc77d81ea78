/** Checks that a response is the endpoint's own, and to the request sent. */
import type {EndpointResponse} from './endpoint_response.js';
import {findHeader} from './header_lines.js';
import {OUTCOME_HEADER} from './outcome_header.js';

/** A response with this status or a higher one is a failure of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** Responses that say that their request did not run have at least this. */
const MIN_REJECTION_STATUS = 400;

/** The status of a request that reached another endpoint at the address. */
export const MISDIRECTED_STATUS = 421;

const OUTCOME_NAME = OUTCOME_HEADER.toLowerCase();

/** The range of statuses that end an exchange; lower ones announce others. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a status is one that HTTP knows for the answer to a request. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Whether a response may be bytes that an endpoint sent after an earlier answer
 * on the connection. They name no request, and must not be taken for a proof
 * that this one did not run. Other hosts refuse requests without naming them.
 */
function isStray(response: EndpointResponse): boolean {
  const {status, metadata, lines, isOnReusedConnection} = response;
  if (!isOnReusedConnection || metadata.requestId !== undefined) return false;
  if (findHeader(lines, OUTCOME_NAME) !== undefined) return false;
  return metadata.isNotRun || status === MISDIRECTED_STATUS;
}

/** Says why a response cannot be used; undefined when it can. */
export function findResponseFault(
  response: EndpointResponse,
  requestId: string,
): string | undefined {
  const {metadata, status, lines} = response;
  if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
    return 'it answers another request';
  }
  const {conflictingHeader: header} = metadata;
  if (header !== undefined) return `it has different values of ${header}`;
  if (metadata.isNotRun && status < MIN_REJECTION_STATUS) {
    return 'it says both that the request ran and that it did not';
  }
  if (isStray(response)) return 'it may follow an earlier answer';
  // Requests ask for unencoded bodies, so an encoded one is not the endpoint's.
  if (findHeader(lines, 'content-encoding') !== undefined) {
    return 'its body is encoded';
  }
  const isOk = status >= 200 && status < 300;
  if (isOk && !metadata.isSigned) return 'it carries no signature';
  if (isOk && metadata.requestId === undefined) return 'it names no request';
  return undefined;
}
