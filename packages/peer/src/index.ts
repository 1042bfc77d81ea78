/** RPC between the hosts of a deployment. */
export * from './errors.js';
export * from './peer_client.js';
export * from './peer_news.js';
export * from './peer_server.js';
