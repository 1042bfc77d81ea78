/** Ways to answer: JSON, errors with their headers, server-sent events. */
import type {ServerResponse} from 'node:http';
import type {KnownError} from '@irisdock/kernel';

/** The header that says what is known of a failed request. */
export const OUTCOME_HEADER = 'x-irisdock-outcome';

/** How long the rest of a body is read after an early answer. */
const DROP_REST_MS = 2000;

/** One server-sent event. */
export interface ServerEvent {
  readonly id?: number;
  readonly event?: string;
  readonly data: string;
}

/** Answers with a JSON value. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.end(writeJsonHead(response, status, value, headers));
}

/** Writes the head of a JSON answer; gives its body. */
function writeJsonHead(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>>,
): string {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  return body;
}

/** Answers with an error: status, outcome header, when to come back, body. */
export function sendError(
  response: ServerResponse,
  error: KnownError,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const wait = error.retryAfterSeconds;
  const extra: Record<string, string> = {
    ...headers,
    [OUTCOME_HEADER]: error.outcome,
  };
  if (wait !== undefined) extra['retry-after'] = String(wait);
  const value = {error: formatError(error)};
  if (response.req.complete) sendJson(response, error.status, value, extra);
  else sendEarly(response, error.status, value, extra);
}

/**
 * Answers a caller that is still sending. What is left of its body must not be
 * taken for a request, so the connection closes; but a connection closed with
 * bytes unread is reset, and the answer lost with it. So the rest is read and
 * dropped first, within a bound.
 */
function sendEarly(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>>,
): void {
  const {req} = response;
  const closing = {...headers, connection: 'close'};
  response.write(writeJsonHead(response, status, value, closing));
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, DROP_REST_MS);
  req.once('end', end);
  req.once('close', end);
  req.resume();
}

/** Gives an error as answers carry it; `type` is for OpenAI clients. */
export function formatError(error: KnownError): Record<string, unknown> {
  const {kind, message, remedy, outcome, retryAfterSeconds} = error;
  return {type: kind, kind, message, remedy, outcome, retryAfterSeconds};
}

/** Starts an answer of server-sent events. */
export function startEvents(
  response: ServerResponse,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(200, {
    ...headers,
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
  });
  response.flushHeaders();
}

/** Formats an event as it goes over the wire; `data` holds no line break. */
export function formatEvent(event: ServerEvent): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`;
  const name = event.event === undefined ? '' : `event: ${event.event}\n`;
  return `${id}${name}data: ${event.data}\n\n`;
}
