/** The errors that the daemon returns to callers and operators. */
import {createErrorTable} from '@irisdock/kernel';

/** All error kinds of the daemon, with message and remedy. */
export const DAEMON_ERRORS = createErrorTable({
  unknown_model: {
    status: 404,
    outcome: 'not-run',
    message: 'There is no service {model} that generates text.',
    remedy: 'List the models with GET /v1/models.',
  },
  unknown_service: {
    status: 404,
    outcome: 'not-run',
    message: 'There is no plain service {service}.',
    remedy: 'Check the name after /s/ in the path.',
  },
  unknown_adapter: {
    status: 404,
    outcome: 'not-run',
    message: 'The service {model} has no adapter {adapter}.',
    remedy: 'Use an adapter that the service lists, or none.',
  },
  missing_team: {
    status: 400,
    outcome: 'not-run',
    message: 'The request names no team.',
    remedy: 'Send the header X-Irisdock-Team.',
  },
  unknown_team: {
    status: 403,
    outcome: 'not-run',
    message: 'There is no team {team}.',
    remedy: 'Check X-Irisdock-Team, or ask the operators to add the team.',
  },
  team_not_allowed: {
    status: 403,
    outcome: 'not-run',
    message: 'The team {team} may not use {service}.',
    remedy: 'Ask the operators to add the service to the team.',
  },
  team_at_limit: {
    status: 429,
    outcome: 'not-run',
    message: 'The team {team} has {limit} requests in flight, its limit.',
    remedy: 'Wait for one to end, or for the time in Retry-After.',
  },
  bad_header: {
    status: 400,
    outcome: 'not-run',
    message: 'The header {header} cannot be used: {detail}.',
    remedy: 'Correct the header and send the request again.',
  },
  too_many_tokens: {
    status: 400,
    outcome: 'not-run',
    message: 'max_tokens is over the limit of {limit} of this service.',
    remedy: 'Ask for fewer tokens.',
  },
  forged_id: {
    status: 400,
    outcome: 'not-run',
    message: 'The request id was not minted by this system.',
    remedy: 'Use an id from GET /v1/addresses unchanged.',
  },
  unbound_id: {
    status: 400,
    outcome: 'not-run',
    message: 'A request that is not repeatable needs a minted request id.',
    remedy: 'Take an id from GET /v1/addresses and send it as X-Request-Id.',
  },
  expired_id: {
    status: 409,
    outcome: 'unknown',
    message: 'The request id is too old to tell whether it has run.',
    remedy: 'If you never sent it before, take a new id and send again.',
  },
  outcome_unknown: {
    status: 409,
    outcome: 'unknown',
    message: 'Whether this request has run cannot be told any more.',
    remedy: 'Find out by its effects before you send it under a new id.',
  },
  already_sent: {
    status: 409,
    outcome: 'unknown',
    message: 'This host has had a call with this request id already.',
    remedy:
      'Look for the answer to the first call; use a new id for a new one.',
  },
  owner_elsewhere: {
    status: 307,
    outcome: 'not-run',
    message: 'The request id belongs to the host at {address}.',
    remedy: 'Send the request to the address in Location.',
  },
  resume_mismatch: {
    status: 400,
    outcome: 'not-run',
    message: 'The resume data belongs to another request.',
    remedy: 'Send the same body and request id as the first time.',
  },
  resume_text_needed: {
    status: 409,
    outcome: 'unknown',
    message: 'The engine is gone, and only the caller has the text so far.',
    remedy: 'Send the text received as irisdock_received_text in the body.',
  },
  answer_taken_up: {
    status: 409,
    outcome: 'unknown',
    message: 'A newer connection with this request id took the answer up.',
    remedy: 'Read the newer one; have you none, send it again with its id.',
  },
  answer_forgotten: {
    status: 409,
    outcome: 'run',
    message: 'The answer to this request was given and is not kept any more.',
    remedy: 'Take a new request id for a new answer.',
  },
  cut_off: {
    status: 503,
    outcome: 'not-run',
    message: 'This host has lost touch with the rest of the system.',
    remedy: 'Use another host, or come back after the time in Retry-After.',
  },
  not_configured: {
    status: 503,
    outcome: 'not-run',
    message: 'This host has no configuration in force yet.',
    remedy: 'Use another host, or come back after the time in Retry-After.',
  },
  leaving: {
    status: 503,
    outcome: 'not-run',
    message: 'This host is leaving and takes no new work.',
    remedy: 'Ask GET /v1/addresses of another host.',
  },
  caller_left: {
    status: 499,
    outcome: 'not-run',
    message: 'The caller left while its request waited for {service}.',
    remedy: 'Nothing; the request was taken out of the queue.',
  },
  no_endpoint: {
    status: 503,
    outcome: 'not-run',
    message: 'No endpoint of {service} could take the request.',
    remedy: 'Send the request again after the time in Retry-After.',
  },
  generation_lost: {
    status: 502,
    outcome: 'unknown',
    message: 'The answer could not be continued ({loss}).',
    remedy: 'Send it again with the same id, Last-Event-ID and resume data.',
  },
  call_lost: {
    status: 502,
    outcome: 'unknown',
    message: 'The call to {service} was lost on its way ({detail}).',
    remedy: 'Find out whether it ran before you send it under a new id.',
  },
  no_such_resource: {
    status: 404,
    outcome: 'not-run',
    message: 'There is no {kind}/{name}.',
    remedy: 'List the kind to see the names.',
  },
  version_conflict: {
    status: 409,
    outcome: 'not-run',
    message: '{kind}/{name} is at version {current}, not {expected}.',
    remedy: 'Read it again and decide anew; nothing was changed.',
  },
  change_unknown: {
    status: 503,
    outcome: 'unknown',
    message: 'Whether the change {operationId} was accepted is not known.',
    remedy: 'Send it again with the same X-Irisdock-Operation-Id.',
  },
  table_unavailable: {
    status: 503,
    outcome: 'not-run',
    message: 'The platform takes no changes now: {detail}.',
    remedy: 'Send the change again after the time in Retry-After.',
  },
  no_majority: {
    status: 503,
    outcome: 'not-run',
    message: 'This host hears {heard} of {known} hosts, too few for changes.',
    remedy: 'Send the change to another host.',
  },
  watch_too_old: {
    status: 410,
    outcome: 'not-run',
    message: 'The changes after revision {after} are forgotten here.',
    remedy: 'List the resources again and watch from that revision.',
  },
});
/** The kind of a daemon error. */
export type DaemonErrorKind = keyof typeof DAEMON_ERRORS.kinds;
