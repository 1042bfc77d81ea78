/** Checks that a response is the endpoint's own, and to the request sent. */
import type {EndpointResponse} from './endpoint_client.js';
import {findHeader} from './header_lines.js';

/** A response with this status or a higher one is a failure of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** The range of statuses that end an exchange; lower ones announce others. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a status is one that HTTP knows for the answer to a request. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
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
  // Requests ask for unencoded bodies, so an encoded one is not the endpoint's.
  if (findHeader(lines, 'content-encoding') !== undefined) {
    return 'its body is encoded';
  }
  const isOk = status >= 200 && status < 300;
  if (isOk && !metadata.isSigned) return 'it carries no signature';
  if (isOk && metadata.requestId === undefined) return 'it names no request';
  return undefined;
}
