/** The names of the headers exchanged with callers. */

/** The request's id; returned with every answer. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Resume data, to be sent back when the answer is resumed. */
export const RESUME_HEADER = 'x-irisdock-resume';
/** The team on whose behalf the request is sent. */
export const TEAM_HEADER = 'x-irisdock-team';
/** Whether the request may run more than once: `true` or `false`. */
export const REPEATABLE_HEADER = 'x-irisdock-repeatable';
/** How long the caller waits for the request to start, in milliseconds. */
export const DEADLINE_HEADER = 'x-irisdock-deadline-ms';
/** The offset of the last token that the caller received. */
export const LAST_EVENT_ID_HEADER = 'last-event-id';
/** When a refused request may be sent again, in seconds. */
const RETRY_AFTER_HEADER = 'retry-after';

const END_TO_END: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER,
  RESUME_HEADER,
  REPEATABLE_HEADER,
  DEADLINE_HEADER,
  LAST_EVENT_ID_HEADER,
  RETRY_AFTER_HEADER,
]);

/** Whether a header is forwarded even if a Connection header lists it. */
export function isEndToEnd(name: string): boolean {
  return END_TO_END.has(name);
}
