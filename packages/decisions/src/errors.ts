/** The errors of admission and of resuming a stream, as callers get them. */
import {createErrorTable} from '@irisdock/kernel';

/** The kinds of errors, with status, message and remedy. */
export const DECISION_ERRORS = createErrorTable({
  bad_resume_data: {
    status: 400,
    outcome: 'not-run',
    message: 'The resume data is not what this system gave out.',
    remedy: 'Send the X-Irisdock-Resume value of the last answer unchanged.',
  },
  queue_full: {
    status: 429,
    outcome: 'not-run',
    message: 'Too many requests wait for {service}.',
    remedy: 'Send the request again after the time in Retry-After.',
  },
  would_wait_too_long: {
    status: 503,
    outcome: 'not-run',
    message: 'The wait for {service} would be about {waitMs} ms.',
    remedy: 'Send the request again after the time in Retry-After.',
  },
  waited_too_long: {
    status: 503,
    outcome: 'not-run',
    message: 'The request waited {waitMs} ms for {service}.',
    remedy: 'Send the request again after the time in Retry-After.',
  },
  pushed_out: {
    status: 429,
    outcome: 'not-run',
    message: 'The team {team} has the most requests waiting for {service}.',
    remedy: 'Send fewer at a time, and again after the time in Retry-After.',
  },
});
