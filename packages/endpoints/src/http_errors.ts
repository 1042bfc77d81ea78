/** How failures of HTTP calls to endpoints become error kinds. */
import {getErrorText, isNeverSent} from '@irisdock/kernel';
import type {EndpointError} from './engine.js';
import {ENDPOINT_ERRORS, type EndpointErrorKind} from './errors.js';

const STATUS_KINDS: ReadonlyMap<number, EndpointErrorKind> = new Map([
  [404, 'endpoint_unknown_stream'],
  [409, 'endpoint_superseded'],
  [503, 'endpoint_full'],
]);

/** Creates the error for a call that threw. */
export function createCallError(
  address: string,
  thrown: unknown,
): EndpointError {
  const detail = getErrorText(thrown);
  const kind = isNeverSent(thrown) ? 'endpoint_unreachable' : 'endpoint_cut';
  return ENDPOINT_ERRORS.create(kind, {address, detail});
}

/** Creates the error for a call that threw before a byte of it was taken. */
export function createUnsentError(
  address: string,
  thrown: unknown,
): EndpointError {
  const detail = getErrorText(thrown);
  return ENDPOINT_ERRORS.create('endpoint_unreachable', {address, detail});
}

/** Creates the error for a status that is no success. */
export function createStatusError(
  address: string,
  status: number,
): EndpointError {
  const kind = STATUS_KINDS.get(status) ?? 'endpoint_bad_answer';
  return ENDPOINT_ERRORS.create(kind, {address, detail: `status ${status}`});
}
