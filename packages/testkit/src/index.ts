/** Fixtures of processes. */
export * from './answers.js';
export * from './caller.js';
export * from './crowd.js';
export * from './crowd_play.js';
export * from './deployment.js';
export * from './deployment_types.js';
export * from './entry_hosts.js';
export * from './http.js';
export * from './process.js';
export * from './process_usage.js';
export * from './reference.js';
export * from './resume_data.js';
export * from './wait.js';
