/** Resource kinds and configuration files. */
export * from './checks.js';
export * from './config_file.js';
export * from './errors.js';
export * from './kind.js';
export * from './kind_table.js';
export * from './kinds/index.js';
export * from './resource.js';
