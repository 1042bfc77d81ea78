/** The HTTP base of the daemons and the stand-ins. */
export * from './answers.js';
export * from './errors.js';
export * from './web_request.js';
export * from './web_server.js';
