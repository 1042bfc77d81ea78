/**
 * The service `peerTables`: gives other hosts this host's copies of the
 * tables, whole or what changed after a revision, and the hosts that it knows.
 */
import {createServer, type ServerResponse} from 'node:http';
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import * as z from 'zod';
import {startListening} from '../channels/listening.js';
import {
  encodeTableRows,
  OTHER_DEPLOYMENT_STATUS,
  PEER_TABLES_PATH,
  UNKNOWN_AGE_MS,
  type PeerTables,
} from '../model/peer_tables_message.js';
import {REPLICATED_TABLES} from '../model/table_store.js';
import {PeerFrame} from '../model/peer_frame.js';
import {HOST_IDENTITY} from '../services/identity.js';
import {PEERS} from '../services/peers.js';
import {TABLES_KEY, type Tables} from './tables.js';

/** Builds the answer to a call: the tables that it names. */
export function createPeerTables(
  tables: Tables,
  hosts: PeerTables['hosts'],
  query: URLSearchParams,
  now: number,
): PeerTables {
  const parts: PeerTables['parts'] = [];
  for (const table of REPLICATED_TABLES) {
    const {replica} = tables[table];
    const ageMs = tables[table].getAgeMs(now);
    const asked = query.get(table);
    if (!replica.isLoaded || asked === null) continue;
    const after = Number(asked);
    const changes = after < 0 ? undefined : replica.listAfter(after);
    const rows = changes ?? replica.listAll();
    parts.push({
      table,
      rows: encodeTableRows(rows),
      revision: replica.revision,
      ageMs: Math.min(UNKNOWN_AGE_MS, Math.round(ageMs)),
      isWhole: changes === undefined,
    });
  }
  return {hosts, parts};
}

/** The key of the service. */
export const PEER_TABLES = createServiceKey<undefined>('peerTables');

/** Declares the service. */
export const PEER_TABLES_SERVICE = createService({
  key: PEER_TABLES,
  settings: z.object({
    listen: IP_PORT_SCHEMA.meta({
      unit: 'ip:port',
      description: 'Where other hosts ask for the tables.',
    }),
  }),
  needs: [HOST_IDENTITY, TABLES_KEY, PEERS],
  create(context, settings) {
    const tables = context.find(TABLES_KEY);
    const peers = context.find(PEERS);
    const {tag} = new PeerFrame(context.find(HOST_IDENTITY).deployment);
    const server = createServer((message, response) => {
      const url = new URL(message.url ?? '/', 'http://localhost');
      if (url.pathname !== PEER_TABLES_PATH) {
        response.writeHead(404).end();
        return;
      }
      const query = url.searchParams;
      if (query.get('deployment') !== tag) {
        response.writeHead(OTHER_DEPLOYMENT_STATUS).end();
        return;
      }
      const hosts = query.has('hosts') ? peers.listAlive() : [];
      const value = createPeerTables(
        tables,
        hosts,
        query,
        context.clock.getNow(),
      );
      sendJsonText(response, {...value, deployment: tag});
    });
    return {
      api: undefined,
      start: () => startListening(server, settings.listen),
      stop() {
        server.close();
        server.closeAllConnections();
        return Promise.resolve();
      },
    };
  },
});

function sendJsonText(response: ServerResponse, value: unknown): void {
  const text = JSON.stringify(value);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
