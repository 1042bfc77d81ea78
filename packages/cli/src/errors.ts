/** What the command itself reports. */
import {createErrorTable} from '@irisdock/kernel';

/** Error kinds of the command line. */
export const CLI_ERRORS = createErrorTable({
  usage: {
    status: 0,
    outcome: 'not-run',
    message: '{detail}',
    remedy: 'Use irisdock {command} --help.',
  },
  absent: {
    status: 0,
    outcome: 'not-run',
    message: 'There is no {kind}/{name}.',
    remedy: 'Use irisdock list {kind} to see the names.',
  },
  forgotten: {
    status: 0,
    outcome: 'not-run',
    message: 'The changes after revision {after} are forgotten.',
    remedy: 'List the resources again, and watch without --after.',
  },
  file_faults: {
    status: 0,
    outcome: 'not-run',
    message: '{faults}',
    remedy: 'Correct the file; nothing was sent.',
  },
  unreadable_file: {
    status: 0,
    outcome: 'not-run',
    message: 'The file {file} cannot be read: {detail}.',
    remedy: 'Check the name and its permissions.',
  },
  no_lines: {
    status: 0,
    outcome: 'not-run',
    message: 'No log line names the request {request}.',
    remedy: 'Give the logs of all hosts, of the time of the request, with -f.',
  },
  no_streams: {
    status: 0,
    outcome: 'not-run',
    message: 'No log line tells of a stream.',
    remedy: 'Give the logs of hosts that served streams, with -f.',
  },
  unreachable: {
    status: 0,
    outcome: 'not-run',
    message: 'No server answered ({servers}): {detail}.',
    remedy: 'Give the operator address of a host with --server.',
  },
  answer_lost: {
    status: 0,
    outcome: 'unknown',
    message: 'The change was sent but no answer came: {detail}.',
    remedy: 'Run the command again; what took effect is left as it is.',
  },
  bad_answer: {
    status: 0,
    outcome: 'unknown',
    message: 'The server answered what this version does not know: {detail}.',
    remedy: 'Use the same version of irisdock and irisdockd.',
  },
});

/** Kinds that mean that nothing was sent, for a fault of the call itself. */
export const USAGE_KINDS: ReadonlySet<string> = new Set([
  'usage',
  'file_faults',
  'unreadable_file',
]);
