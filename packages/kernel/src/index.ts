/** The micro-kernel and what every package builds on. */
export * from './byte_collector.js';
export * from './channel.js';
export * from './clock.js';
export * from './connection_errors.js';
export * from './errors.js';
export * from './host_stalls.js';
export * from './kernel.js';
export * from './line_writer.js';
export * from './log.js';
export * from './place.js';
export * from './program_options.js';
export * from './random.js';
export * from './running_timer.js';
export * from './service.js';
export * from './settings.js';
export * from './settings_file.js';
export * from './task.js';
