/** The command line, for its binary and for tests of its help. */
export * from './command.js';
export * from './command_table.js';
export * from './exit_codes.js';
export * from './help.js';
export * from './main.js';
export * from './log_lines.js';
export * from './stream_summary.js';
