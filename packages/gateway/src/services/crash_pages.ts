/**
 * The operators' list of request contents that crash endpoints, from which they
 * may remove one: `GET /v1/crashes` and `DELETE /v1/crashes/<content>`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, KnownError, Logger} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {CrashRecords} from '../serving/crash_records.js';
import {sendJson} from './json_response.js';

const PATH = '/v1/crashes';
/** Identifies the operator, for the log. */
const ACTOR_HEADER = 'x-irisdock-actor';

/** Dependencies of the pages. */
export interface CrashPagesParts {
  readonly crashes: CrashRecords;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Answers a request for these pages; returns false for any other request. */
export function handleCrashPages(
  message: IncomingMessage,
  response: ServerResponse,
  parts: CrashPagesParts,
): boolean {
  const [path = ''] = (message.url ?? '').split('?');
  if (path === PATH && message.method === 'GET') {
    sendJson(response, 200, {contents: listContents(parts)});
    return true;
  }
  if (!path.startsWith(`${PATH}/`) || message.method !== 'DELETE') return false;
  const content = path.slice(PATH.length + 1);
  const {crashes, log} = parts;
  if (crashes.countCrashes(content) === 0) {
    const error = GATEWAY_ERRORS.create('no_such_content', {content});
    sendError(response, error);
    return true;
  }
  const actor = String(message.headers[ACTOR_HEADER] ?? 'unknown');
  log.writeInfo('Operator removed a content from the crash list.', {
    content,
    actor,
  });
  crashes.dropContent(content, `removed by ${actor}`);
  sendJson(response, 200, {content});
  return true;
}

function listContents({crashes, clock}: CrashPagesParts): object[] {
  const now = clock.getNow();
  return crashes.listContents().map(({content, instanceIds, lastAt}) => ({
    content,
    verdict: crashes.getVerdict(content),
    endpoints: instanceIds,
    lastSecondsAgo: Math.round((now - lastAt) / 1000),
  }));
}

function sendError(response: ServerResponse, error: KnownError): void {
  const {kind, message, remedy, outcome, status} = error;
  sendJson(response, status, {error: {kind, message, remedy, outcome}});
}
