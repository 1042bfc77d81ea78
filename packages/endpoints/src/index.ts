/** Interfaces of the endpoints and their HTTP clients. */
export * from './engine.js';
export * from './errors.js';
export * from './http_engine.js';
export * from './http_plain_endpoint.js';
export * from './plain_endpoint.js';
