/** Whether an endpoint's answer is one to the request that was sent. */
import type {EndpointResponse} from './endpoint_client.js';
import {findHeader} from './header_lines.js';

/** From this status on an answer is a failure of the endpoint. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** Names what is wrong with an answer; undefined when it can be used. */
export function findResponseFault(
  answer: EndpointResponse,
  requestId: string,
): string | undefined {
  const {metadata: terms, status, lines} = answer;
  if (terms.requestId !== undefined && terms.requestId !== requestId) {
    return 'it answers another request';
  }
  // Callers ask for plain bodies, so an encoded one is not the endpoint's.
  if (findHeader(lines, 'content-encoding') !== undefined) {
    return 'its body is encoded';
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && !terms.isSigned) return 'it carries no signature';
  if (isSuccess && terms.requestId === undefined) return 'it names no request';
  return undefined;
}
