/** All commands. */
import type {AnyCommand} from './command.js';
import {APPLY_COMMAND} from './commands/apply.js';
import {AUDIT_COMMAND} from './commands/audit.js';
import {CRASHES_COMMAND} from './commands/crashes.js';
import {DELETE_COMMAND} from './commands/delete.js';
import {EXPLAIN_COMMAND} from './commands/explain.js';
import {GET_COMMAND} from './commands/get.js';
import {HOSTS_COMMAND} from './commands/hosts.js';
import {LIMITS_COMMAND} from './commands/limits.js';
import {LIST_COMMAND} from './commands/list.js';
import {STATUS_COMMAND} from './commands/status.js';
import {STREAMS_COMMAND} from './commands/streams.js';
import {TASKS_COMMAND} from './commands/tasks.js';
import {WATCH_COMMAND} from './commands/watch.js';

/** All commands, in the order of help. */
export const COMMANDS: readonly AnyCommand[] = [
  GET_COMMAND,
  LIST_COMMAND,
  APPLY_COMMAND,
  DELETE_COMMAND,
  WATCH_COMMAND,
  STATUS_COMMAND,
  AUDIT_COMMAND,
  CRASHES_COMMAND,
  LIMITS_COMMAND,
  TASKS_COMMAND,
  HOSTS_COMMAND,
  EXPLAIN_COMMAND,
  STREAMS_COMMAND,
];
