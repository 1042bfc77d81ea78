/**
 * The service `peerTables`: gives other hosts this host's copies of the
 * tables, whole or what changed after a revision.
 */
import {createServer, type ServerResponse} from 'node:http';
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import {z} from 'zod';
import {FOLLOWED_TABLES, TABLES_KEY, type Tables} from './tables.js';

/** The path of the call. */
export const PEER_TABLES_PATH = '/peer/tables';

/** A row; null for one that was deleted. */
const ROW_SCHEMA = z.object({
  key: z.string(),
  value: z.string().nullable(),
  revision: z.number(),
});

/** The answer: a part for each table. */
export const PEER_TABLES_SCHEMA = z.object({
  parts: z.array(
    z.object({
      table: z.enum(FOLLOWED_TABLES),
      rows: z.array(ROW_SCHEMA),
      revision: z.number(),
      /** Whether the rows are all there are, and not only the changes. */
      isWhole: z.boolean(),
    }),
  ),
});

/** The answer. */
export type PeerTables = z.infer<typeof PEER_TABLES_SCHEMA>;

/** Builds the answer to a call. */
export function createPeerTables(
  tables: Tables,
  query: URLSearchParams,
): PeerTables {
  const parts: PeerTables['parts'] = [];
  for (const table of FOLLOWED_TABLES) {
    const {replica} = tables[table];
    if (!replica.isLoaded) continue;
    const after = Number(query.get(table) ?? -1);
    const changes = after < 0 ? undefined : replica.listAfter(after);
    const rows = changes ?? replica.listAll();
    parts.push({
      table,
      rows: rows.map((row) => ({...row, value: row.value ?? null})),
      revision: replica.revision,
      isWhole: changes === undefined,
    });
  }
  return {parts};
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
  needs: [TABLES_KEY],
  create(context, settings) {
    const tables = context.find(TABLES_KEY);
    const server = createServer((message, response) => {
      const url = new URL(message.url ?? '/', 'http://localhost');
      if (url.pathname !== PEER_TABLES_PATH) {
        response.writeHead(404).end();
        return;
      }
      sendJsonText(response, createPeerTables(tables, url.searchParams));
    });
    const colon = settings.listen.lastIndexOf(':');
    const ip = settings.listen.slice(0, colon);
    const port = Number(settings.listen.slice(colon + 1));
    return {
      api: undefined,
      async start() {
        await new Promise<void>((resolve, reject) => {
          server.once('error', reject);
          server.listen(port, ip, resolve);
        });
      },
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
