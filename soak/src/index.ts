/** The soak, as its tests use it. */
export * from './crash_witness.js';
export * from './disturbances.js';
export * from './endpoint_fleet.js';
export * from './end_witness.js';
export * from './fault_plan.js';
export * from './handover_plan.js';
export * from './harmless_plan.js';
export * from './free_ports.js';
export * from './host_process.js';
export * from './limit_witness.js';
export * from './pause_witness.js';
export * from './play.js';
export * from './request_kinds.js';
export * from './slow_caller.js';
export * from './tcp_link.js';
export * from './version_witness.js';
export * from './witness.js';
