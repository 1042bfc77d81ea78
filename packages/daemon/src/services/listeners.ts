/**
 * The service `listen`: owns the three listening sockets, for callers,
 * operators and other hosts. It starts first, so that all places are known;
 * the services that answer set their routes later.
 */
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import {PeerServer} from '@irisdock/peer';
import {WebServer} from '@irisdock/web';
import * as z from 'zod';

/** The sockets and the places they took. */
export interface Listeners {
  readonly callers: WebServer;
  readonly operators: WebServer;
  readonly peers: PeerServer;
  /** The places that others are told; set once started. */
  readonly addresses: {caller: string; operator: string; peer: string};
}

/** The key of the service. */
export const LISTENERS = createServiceKey<Listeners>('listen');

const ADVERTISE_SCHEMA = z.union([z.literal(''), IP_PORT_SCHEMA]).default('');

const SETTINGS = z.object({
  callers: IP_PORT_SCHEMA.default('127.0.0.1:8080').meta({
    unit: 'ip:port',
    description: 'Where callers connect.',
  }),
  callersAdvertise: ADVERTISE_SCHEMA.meta({
    unit: 'ip:port',
    description: 'What callers are told to connect to; empty for the same.',
  }),
  operators: IP_PORT_SCHEMA.default('127.0.0.1:8090').meta({
    unit: 'ip:port',
    description: 'Where operators connect: resources, status, metrics.',
  }),
  peers: IP_PORT_SCHEMA.default('127.0.0.1:8100').meta({
    unit: 'ip:port',
    description: 'Where other hosts connect.',
  }),
  peersAdvertise: ADVERTISE_SCHEMA.meta({
    unit: 'ip:port',
    description: 'What other hosts are told to connect to; empty for the same.',
  }),
  maxBodyBytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024)
    .meta({unit: 'bytes', description: 'The largest body of a request.'}),
  maxBodyMs: z.coerce.number().int().min(100).default(10_000).meta({
    unit: 'ms',
    description: 'The longest that a body may take to arrive.',
  }),
});

/** Declares the service. */
export const LISTENERS_SERVICE = createService({
  key: LISTENERS,
  settings: SETTINGS,
  needs: [],
  create(context, settings) {
    const limits = {maxBytes: settings.maxBodyBytes, maxMs: settings.maxBodyMs};
    const createServer = (listen: string): WebServer =>
      new WebServer({listen, limits}, undefined, context.log);
    const api: Listeners = {
      callers: createServer(settings.callers),
      operators: createServer(settings.operators),
      peers: new PeerServer(settings.peers),
      addresses: {caller: '', operator: '', peer: ''},
    };
    return {
      api,
      async start() {
        const {addresses: places} = api;
        const caller = await api.callers.start();
        const peer = await api.peers.start();
        places.operator = await api.operators.start();
        places.caller = settings.callersAdvertise || caller;
        places.peer = settings.peersAdvertise || peer;
        context.log.writeInfo('Listening.', {...places});
      },
      async stop() {
        await api.callers.stop();
        await api.operators.stop();
        await api.peers.stop();
      },
    };
  },
});
