/** The gateway: routes requests and resumable event streams to endpoints. */
export type {
  ConnectOptions,
  EndpointNetwork,
} from './channels/endpoint_network.js';
export * from './channels/json_client.js';
export * from './channels/header_lines.js';
export * from './errors.js';
export * from './gateway.js';
export * from './model/endpoint_entry.js';
export * from './model/json_value.js';
export * from './model/peer_codec.js';
export * from './model/platform_api.js';
export * from './model/singleton_task.js';
export * from './model/peer_frame.js';
export * from './model/peer_message.js';
export * from './model/request_metadata.js';
export * from './model/rollout_order.js';
export * from './model/serving_configuration.js';
export * from './model/table_update.js';
export * from './model/table_store.js';
export {BEGUN_REQUESTS} from './services/begun_requests.js';
export {CRASHES} from './services/crashes.js';
export {GATEWAY_CONFIGURATION} from './services/configuration.js';
export {ENDPOINT_NETWORK} from './services/endpoint_network.js';
export {
  GATEWAY_ENDPOINTS,
  GATEWAY_ENDPOINTS_SERVICE,
} from './services/endpoints.js';
export * from './services/engine_groups.js';
export * from './services/host_phase.js';
export * from './services/identity.js';
export {LIMITS} from './services/limits.js';
export type {LimitStatus as ShownLimit} from './services/send_limits.js';
export {PEERS} from './services/peers.js';
export {SCALING, SCALING_SERVICE} from './services/scaling.js';
export * from './services/seed_schedule.js';
export * from './services/store.js';
export {USAGE_REPORTS_SERVICE} from './services/usage_reports.js';
export {VERSION_HISTORY} from './services/version_histories.js';
export {TABLES_KEY} from './tables/tables.js';
