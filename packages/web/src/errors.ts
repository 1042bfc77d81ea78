/** What the HTTP base itself refuses, before any handler has run. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds of the HTTP base. */
export const WEB_ERRORS = createErrorTable({
  bad_json: {
    status: 400,
    outcome: 'not-run',
    message: 'The body is not valid JSON: {detail}.',
    remedy: 'Send one JSON object in UTF-8.',
  },
  bad_field: {
    status: 400,
    outcome: 'not-run',
    message: 'Fields are not as they should be: {detail}.',
    remedy: 'Correct the named fields and send the request again.',
  },
  body_too_large: {
    status: 413,
    outcome: 'not-run',
    message: 'The body is larger than {limit} bytes.',
    remedy: 'Send a shorter body, or ask the operators for a higher limit.',
  },
  body_too_slow: {
    status: 408,
    outcome: 'not-run',
    message: 'The body did not arrive whole in {seconds} s.',
    remedy: 'Send the body without pauses.',
  },
  memory_full: {
    status: 503,
    outcome: 'not-run',
    message:
      'The bodies of all requests at this host are larger than its memory allows.',
    remedy: 'Use another host, or come back after the time in Retry-After.',
  },
  body_cut: {
    status: 400,
    outcome: 'not-run',
    message: 'The connection ended before the body did.',
    remedy: 'Send the whole body; its length must match Content-Length.',
  },
  no_such_path: {
    status: 404,
    outcome: 'not-run',
    message: 'There is nothing at {path}.',
    remedy: 'Look up the paths in the docs.',
  },
  no_such_method: {
    status: 405,
    outcome: 'not-run',
    message: '{path} does not take {method}.',
    remedy: 'Use one of: {allowed}.',
  },
  starting: {
    status: 503,
    outcome: 'not-run',
    message: 'This host is starting.',
    remedy: 'Use another host, or come back after the time in Retry-After.',
  },
  internal: {
    status: 500,
    outcome: 'unknown',
    message: 'The request failed inside: {detail}.',
    remedy: 'Report it with the time; whether it ran is not known.',
  },
});
