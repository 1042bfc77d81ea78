/**
 * The service `directory`: answers callers which hosts to use, and readiness
 * checks of this host.
 */
import type {ServerResponse} from 'node:http';
import {chooseHosts, type AnswerLimits} from '@irisdock/decisions';
import {
  createGuardedServer,
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import * as z from 'zod';
import {startListening} from '../channels/listening.js';
import {HOST_PHASE} from './host_phase.js';
import {PEERS} from './peers.js';
import {REQUEST_MEMORY} from './request_memory.js';
import {CODECS} from './store.js';

/** The key of the service. */
export const DIRECTORY = createServiceKey<undefined>('directory');

/**
 * The number of hosts in an answer. Callers choose one of them at random for
 * each connection, so about one in eight connections goes to another failure
 * domain. A deployment of up to 16 hosts is listed completely, unless hosts are
 * unequal or there are several regions.
 */
const ANSWER_SIZE: AnswerLimits = {
  maxHosts: 64,
  minOtherDomain: 5,
  minHosts: 16,
};

const SETTINGS = z.object({
  listen: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where callers ask which hosts to use.',
  }),
  readinessListen: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where this host answers whether it is ready for callers.',
  }),
  keepSeconds: z.coerce.number().min(0.1).default(1).meta({
    unit: 's',
    description: 'How long callers may keep an answer.',
  }),
});

/** Declares the service. */
export const DIRECTORY_SERVICE = createService({
  key: DIRECTORY,
  settings: SETTINGS,
  needs: [CODECS, HOST_PHASE, PEERS, REQUEST_MEMORY],
  create(context, settings) {
    let {keepSeconds} = settings;
    const codecs = context.find(CODECS);
    const phase = context.find(HOST_PHASE);
    const peers = context.find(PEERS);
    const {random} = context;
    const answerAddresses = (response: ServerResponse, query: string): void => {
      const domain = codecs.decodeCallerDomain(query);
      const serving = peers.listServing();
      const {regions} = peers.position;
      const hosts = chooseHosts(serving, domain, ANSWER_SIZE, random, regions);
      const addresses = hosts.map(({callers}) => callers);
      if (addresses.length === 0) {
        sendBody(response, 503, '');
        return;
      }
      const body = codecs.encodeAddresses(addresses, keepSeconds);
      sendBody(response, 200, body);
    };
    const answerReadiness = (response: ServerResponse): void => {
      sendBody(response, phase.state === 'ready' ? 200 : 503, '');
    };
    const {guard} = context.find(REQUEST_MEMORY);
    const server = createGuardedServer(guard, (message, response) => {
      const [path, query = ''] = (message.url ?? '/').split('?');
      if (path === codecs.paths.addresses) answerAddresses(response, query);
      else if (path === codecs.paths.readiness) answerReadiness(response);
      else sendBody(response, 404, '');
    });
    const readiness = createGuardedServer(guard, (message, response) => {
      const path = (message.url ?? '/').split('?')[0];
      if (path === codecs.paths.readiness) answerReadiness(response);
      else sendBody(response, 404, '');
    });
    return {
      api: undefined,
      live: {
        keys: ['keepSeconds'],
        apply: (changed) => {
          keepSeconds = changed.keepSeconds;
        },
      },
      async start() {
        await startListening(server, settings.listen);
        await startListening(readiness, settings.readinessListen);
        peers.getState = () => phase.state;
      },
      stop() {
        for (const httpServer of [server, readiness]) {
          httpServer.close();
          httpServer.closeAllConnections();
        }
        return Promise.resolve();
      },
    };
  },
});

function sendBody(
  response: ServerResponse,
  status: number,
  body: string,
): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
