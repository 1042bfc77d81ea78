/** The response that carries an error of the gateway to a caller. */
import {STATUS_CODES} from 'node:http';
import type {KnownError} from '@irisdock/kernel';
import {OUTCOME_HEADER} from '../channels/outcome_header.js';
import type {HeaderLines} from '../model/request_metadata.js';

/** A response that carries an error. */
export interface RefusalResponse {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/**
 * Creates the response for an error.
 *
 * @param mustClose Whether the connection is closed after it.
 * @param extraLines Further header lines.
 */
export function createRefusalResponse(
  error: KnownError,
  mustClose: boolean,
  extraLines: HeaderLines = [],
): RefusalResponse {
  const {kind, message, remedy, outcome, retryAfterSeconds} = error;
  const body = Buffer.from(
    JSON.stringify({error: {kind, message, remedy, outcome}}),
  );
  const headers: Record<string, string> = {
    'Content-Type': 'application/json',
    'Content-Length': String(body.length),
    [OUTCOME_HEADER]: outcome,
    ...Object.fromEntries(extraLines),
  };
  if (retryAfterSeconds !== undefined) {
    headers['Retry-After'] = String(retryAfterSeconds);
  }
  if (mustClose) headers['Connection'] = 'close';
  return {headers, body};
}

/** Formats the response to a request of which Node made no message. */
export function formatRefusalResponse(error: KnownError): Buffer {
  const {headers, body} = createRefusalResponse(error, true);
  const reason = STATUS_CODES[error.status] ?? '';
  const lines = [
    `HTTP/1.1 ${error.status} ${reason}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
  return Buffer.concat([head, body]);
}
