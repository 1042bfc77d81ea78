/** Routes requests and resumable event streams to endpoints. */
export * from './channels/json_caller.js';
export * from './channels/header_lines.js';
export * from './errors.js';
export * from './gateway.js';
export * from './model/endpoint_entry.js';
export * from './model/peer_codec.js';
export * from './model/peer_message.js';
export * from './model/request_terms.js';
export * from './model/serving_configuration.js';
export * from './model/table_news.js';
export * from './model/watched_table.js';
export * from './services/host_phase.js';
export * from './services/identity.js';
export {PEERS} from './services/peers.js';
export * from './services/seed_tries.js';
export * from './services/store.js';
export {TABLES_KEY} from './services/tables.js';
