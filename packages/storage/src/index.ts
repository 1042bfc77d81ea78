/** The platform's interfaces and their HTTP clients. */
export * from './errors.js';
export * from './host_list.js';
export * from './http_platform.js';
export * from './object_store.js';
export * from './table_service.js';
