/** The headers that callers and the system exchange. */

/** The request's id; given back with every answer. */
export const REQUEST_ID_HEADER = 'x-request-id';
/** Resume data, to be sent back when going on elsewhere. */
export const RESUME_HEADER = 'x-irisdock-resume';
/** The team that the request is for. */
export const TEAM_HEADER = 'x-irisdock-team';
/** `true` or `false`; whether the request may run more than once. */
export const REPEATABLE_HEADER = 'x-irisdock-repeatable';
/** Milliseconds that the caller waits for the request to start. */
export const DEADLINE_HEADER = 'x-irisdock-deadline-ms';
/** The offset of the last token that arrived. */
export const LAST_EVENT_ID_HEADER = 'last-event-id';
