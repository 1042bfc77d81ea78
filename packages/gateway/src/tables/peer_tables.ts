/**
 * The service `peerTables`: an HTTP server from which other hosts load this
 * host's table replicas, whole or only the changes after a revision, and the
 * list of live hosts. It also receives the requests that other hosts relay.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {getHostSample, type HostPosition} from '@irisdock/decisions';
import {
  createGuardedServer,
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
  type Random,
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
import {
  parseRelayPath,
  RELAY_PATH,
  type RelayHop,
} from '../model/relay_path.js';
import {REPLICATED_TABLES} from '../model/table_store.js';
import {PeerFrame} from '../model/peer_frame.js';
import {HOST_IDENTITY} from '../services/identity.js';
import type {AliveHost} from '../services/host_tracker.js';
import {PEERS} from '../services/peers.js';
import {REQUEST_MEMORY} from '../services/request_memory.js';
import {TABLES_KEY, type Tables} from './tables.js';

/** Hosts that a starting host of another region is sent to; some may be lost. */
const MAX_NEARER_HOSTS = 3;

/** Creates the response to a request: the tables that its query names. */
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
    const requested = query.get(table);
    if (!replica.isLoaded || requested === null) continue;
    const after = Number(requested);
    const changes = after < 0 ? undefined : replica.listAfter(after);
    const rows = changes ?? replica.listAll();
    const lastReady = tables[table].confirmations.listLastReady();
    parts.push({
      table,
      rows: encodeTableRows(rows),
      revision: replica.revision,
      ageMs: Math.min(UNKNOWN_AGE_MS, Math.round(ageMs)),
      isWhole: changes === undefined,
      ...(lastReady.length > 0 ? {lastReady} : {}),
    });
  }
  return {hosts, parts};
}

/**
 * Lists a few hosts to load from instead, if the requesting host is of another
 * region: ready hosts of its region, drawn by what they can carry.
 *
 * @param domain The failure domain that the request names.
 */
export function listNearerHosts(
  position: HostPosition,
  alive: readonly AliveHost[],
  domain: string | null,
  random: Random,
): string[] {
  if (domain === null || position.isNear(domain)) return [];
  const nearer = alive.filter(
    ({record, place}) =>
      record.state === 'ready' &&
      position.regions.isSameRegion(place.failureDomain, domain),
  );
  return getHostSample(nearer, MAX_NEARER_HOSTS, random).map(
    ({place}) => place.tables,
  );
}

/** Receives requests that other hosts relay. */
export class RelayReceiver {
  /** Serves a relayed request; set by the service that serves callers. */
  handle:
    | ((
        message: IncomingMessage,
        response: ServerResponse,
        hop: RelayHop,
      ) => void)
    | undefined;

  constructor(private readonly deployment: string) {}

  /** Accepts a request whose path is that of a relayed one. */
  accept(message: IncomingMessage, response: ServerResponse): void {
    const parsed = parseRelayPath(message.url ?? '');
    if (parsed === undefined) {
      response.writeHead(400).end();
      return;
    }
    const {hop, path} = parsed;
    const {handle} = this;
    if (hop.deployment !== this.deployment || handle === undefined) {
      response.writeHead(OTHER_DEPLOYMENT_STATUS).end();
      return;
    }
    message.url = path;
    handle(message, response, hop);
  }
}

/** The key of the service. */
export const PEER_TABLES = createServiceKey<RelayReceiver>('peerTables');

/** Declares the service. */
export const PEER_TABLES_SERVICE = createService({
  key: PEER_TABLES,
  settings: z.object({
    listen: IP_PORT_SCHEMA.meta({
      unit: 'ip:port',
      description: 'The address at which other hosts load the tables.',
    }),
  }),
  needs: [HOST_IDENTITY, TABLES_KEY, PEERS, REQUEST_MEMORY],
  create(context, settings) {
    const tables = context.find(TABLES_KEY);
    const peers = context.find(PEERS);
    const {tag} = new PeerFrame(context.find(HOST_IDENTITY).deployment);
    const relays = new RelayReceiver(tag);
    const {guard} = context.find(REQUEST_MEMORY);
    const server = createGuardedServer(guard, (message, response) => {
      if (message.url?.startsWith(RELAY_PATH) === true) {
        relays.accept(message, response);
        return;
      }
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
      const nearer = listNearerHosts(
        peers.position,
        peers.listAlive(),
        query.get('domain'),
        context.random,
      );
      if (nearer.length > 0) {
        sendJson(response, {hosts: [], parts: [], nearer, deployment: tag});
        return;
      }
      const hosts = query.has('hosts') ? peers.listAlive() : [];
      const body = createPeerTables(
        tables,
        hosts,
        query,
        context.clock.getNow(),
      );
      sendJson(response, {...body, deployment: tag});
    });
    return {
      api: relays,
      start: () => startListening(server, settings.listen),
      stop() {
        server.close();
        server.closeAllConnections();
        return Promise.resolve();
      },
    };
  },
});

function sendJson(response: ServerResponse, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
