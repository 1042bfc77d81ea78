/** Tells from the framing of a response whether its body is complete. */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {ConnectionEnd} from './connection_end.js';

/** Whether the body has a length or is chunked. */
export function hasFraming({headers}: IncomingMessage): boolean {
  if (headers['content-length'] !== undefined) return true;
  return isChunked(headers['transfer-encoding'] ?? '');
}

/**
 * Whether the body, once it has ended, is complete. Without framing it ends
 * with its connection, and is truncated unless that ended in order.
 */
export function isBodyComplete(
  clientRequest: ClientRequest,
  incoming: IncomingMessage,
  connectionEnd: ConnectionEnd,
): boolean {
  if (!incoming.complete) return false;
  if (hasFraming(incoming) || isBodiless(clientRequest, incoming)) return true;
  return connectionEnd.isOrderly;
}

/** With another last coding, a body ends with its connection (RFC 9112, 6.3). */
function isChunked(transferEncoding: string): boolean {
  const last = transferEncoding.split(',').at(-1) ?? '';
  return last.trim().toLowerCase() === 'chunked';
}

/** Whether the response ends with its head. */
function isBodiless(
  {method}: ClientRequest,
  {statusCode}: IncomingMessage,
): boolean {
  return method === 'HEAD' || statusCode === 204 || statusCode === 304;
}
