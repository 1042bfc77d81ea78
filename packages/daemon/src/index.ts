/** The daemon, for its binary and for tests of its settings and metrics. */
export * from './daemon.js';
export * from './errors.js';
export * from './main.js';
