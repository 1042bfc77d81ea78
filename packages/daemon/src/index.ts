/** Exports for the binary and for tests of settings and metrics. */
export * from './daemon.js';
export * from './errors.js';
export * from './main.js';
