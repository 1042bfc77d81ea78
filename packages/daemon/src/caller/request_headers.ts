/** Parses and validates the headers of a caller's request. */
import type {KnownError} from '@irisdock/kernel';
import {REQUEST_ID_PATTERN} from '@irisdock/decisions';
import type {WebRequest} from '@irisdock/web';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {DAEMON_ERRORS} from '../errors.js';
import {
  DEADLINE_HEADER,
  LAST_EVENT_ID_HEADER,
  REPEATABLE_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
  TEAM_HEADER,
} from './headers.js';

const MAX_OFFSET = 10_000_000;

const HEADERS_SCHEMA = z.object({
  [REQUEST_ID_HEADER]: z
    .string()
    .regex(REQUEST_ID_PATTERN, 'use 1 to 200 letters, digits and ._:~[]-')
    .optional(),
  [RESUME_HEADER]: z.string().max(4096).optional(),
  [TEAM_HEADER]: z.string().min(1).max(63).optional(),
  [REPEATABLE_HEADER]: z
    .enum(['true', 'false'], 'send true or false')
    .optional(),
  [DEADLINE_HEADER]: z
    .string()
    .regex(/^\d{1,7}$/, 'send whole milliseconds, up to 9999999')
    .optional(),
  [LAST_EVENT_ID_HEADER]: z
    .string()
    .regex(/^\d{1,8}$/, `send the offset of a token, up to ${MAX_OFFSET}`)
    .optional(),
});

/** The parsed headers. */
export interface RequestHeaders {
  readonly requestId: string | undefined;
  readonly resumeText: string | undefined;
  readonly team: string | undefined;
  readonly repeatable: boolean | undefined;
  readonly deadlineMs: number | undefined;
  /** The offset of the first token that the caller still needs. */
  readonly fromOffset: number;
  readonly isResuming: boolean;
}

/** Reads and validates the headers. */
export function readRequestHeaders(
  request: WebRequest,
): Result<RequestHeaders, KnownError> {
  const raw: Record<string, string> = {};
  for (const header of Object.keys(HEADERS_SCHEMA.shape)) {
    const value = request.getHeader(header);
    // Browsers send an empty Last-Event-ID when they have none.
    if (value !== undefined && value !== '') raw[header] = value;
  }
  const parsed = HEADERS_SCHEMA.safeParse(raw);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const header = String(issue?.path[0] ?? '');
    const detail = issue?.message ?? '';
    return err(DAEMON_ERRORS.create('bad_header', {header, detail}));
  }
  const headers = parsed.data;
  const lastId = headers[LAST_EVENT_ID_HEADER];
  const repeatable = headers[REPEATABLE_HEADER];
  const deadline = headers[DEADLINE_HEADER];
  return ok({
    requestId: headers[REQUEST_ID_HEADER],
    resumeText: headers[RESUME_HEADER],
    team: headers[TEAM_HEADER],
    repeatable: repeatable === undefined ? undefined : repeatable === 'true',
    deadlineMs: deadline === undefined ? undefined : Number(deadline),
    fromOffset: lastId === undefined ? 0 : Number(lastId) + 1,
    isResuming: lastId !== undefined || headers[RESUME_HEADER] !== undefined,
  });
}
