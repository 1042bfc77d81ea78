/** All resource kinds. */
export * from './adapter.js';
export * from './model_version.js';
export * from './placement_rule.js';
export * from './service.js';
export * from './team.js';
export * from './team_priority.js';
