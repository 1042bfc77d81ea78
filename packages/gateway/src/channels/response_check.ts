/** Checks that a response is the endpoint's own, and to the request sent. */
import type {EndpointResponse} from './endpoint_client.js';
import {findHeader} from './header_lines.js';

/** A response with this status or a higher one is a failure of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;

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
