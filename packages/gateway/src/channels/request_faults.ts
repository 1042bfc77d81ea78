/** Faults of requests that Node's parser or its timeouts find. */
import type {KnownError} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';

/** Codes of the parser begin with this. */
const PARSER_PREFIX = 'HPE_';

/** Finds what is wrong with a request; undefined if its connection failed. */
export function findRequestFault(
  error: NodeJS.ErrnoException,
): KnownError | undefined {
  const code = error.code ?? '';
  if (code === 'HPE_HEADER_OVERFLOW') {
    return GATEWAY_ERRORS.create('head_too_large');
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return GATEWAY_ERRORS.create('request_late');
  }
  if (!code.startsWith(PARSER_PREFIX)) return undefined;
  return GATEWAY_ERRORS.create('malformed_request', {detail: error.message});
}
