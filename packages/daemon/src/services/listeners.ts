/**
 * The service `listen`: owns the three listening sockets, for callers,
 * operators and other hosts. It starts first, so that all addresses are known
 * to the other services, which set their routes and handlers later.
 */
import {
  BodyMemory,
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
  RequestBacklog,
} from '@irisdock/kernel';
import {PeerServer} from '@irisdock/peer';
import {createGuard, WebServer} from '@irisdock/web';
import {Counter, type Registry} from 'prom-client';
import * as z from 'zod';

/** The listening sockets and their advertised addresses. */
export interface Listeners {
  readonly callers: WebServer;
  readonly operators: WebServer;
  readonly peers: PeerServer;
  /** The advertised addresses; empty until started. */
  readonly addresses: {caller: string; operator: string; peer: string};
}

/** The key of the service. */
export const LISTENERS = createServiceKey<Listeners>('listen');

const BYTES_PER_MB = 1_000_000;
const ADVERTISE_SCHEMA = z.union([z.literal(''), IP_PORT_SCHEMA]).default('');

const SETTINGS = z.object({
  callers: IP_PORT_SCHEMA.default('127.0.0.1:8080').meta({
    unit: 'ip:port',
    description: 'Listening address for callers.',
  }),
  callersAdvertise: ADVERTISE_SCHEMA.meta({
    unit: 'ip:port',
    description:
      'Address advertised to callers; defaults to the listening address.',
  }),
  operators: IP_PORT_SCHEMA.default('127.0.0.1:8090').meta({
    unit: 'ip:port',
    description: 'Listening address for operators: resources, status, metrics.',
  }),
  peers: IP_PORT_SCHEMA.default('127.0.0.1:8100').meta({
    unit: 'ip:port',
    description: 'Listening address for other hosts.',
  }),
  peersAdvertise: ADVERTISE_SCHEMA.meta({
    unit: 'ip:port',
    description:
      'Address advertised to hosts; defaults to the listening address.',
  }),
  maxBodyBytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024)
    .meta({unit: 'bytes', description: 'Maximum size of a request body.'}),
  bodiesMb: z.coerce.number().min(1).default(16).meta({
    unit: 'MB',
    description:
      'Memory for the bodies of all requests together, beyond which the largest that is still arriving is refused with 503; one body of the maximum size always fits.',
  }),
  backlogMb: z.coerce.number().min(1).default(10).meta({
    unit: 'MB',
    description:
      'Memory for requests that wait for those before them on their connection, beyond which the connection with the most is closed.',
  }),
  maxBodyMs: z.coerce.number().int().min(100).default(10_000).meta({
    unit: 'ms',
    description: 'Maximum time to receive a request body.',
  }),
});

/** Declares the service. */
export const LISTENERS_SERVICE = createService({
  key: LISTENERS,
  settings: SETTINGS,
  needs: [],
  create(context, settings) {
    const limits = {maxBytes: settings.maxBodyBytes, maxMs: settings.maxBodyMs};
    const memory = new BodyMemory(settings.bodiesMb * BYTES_PER_MB);
    const closes = createCloseCounter(context.metrics);
    const backlog = new RequestBacklog(settings.backlogMb * BYTES_PER_MB);
    const guard = createGuard(backlog, (reason) => {
      closes.inc({reason});
    });
    const createServer = (listen: string): WebServer =>
      new WebServer({listen, limits, memory, guard}, undefined, context.log);
    const api: Listeners = {
      callers: createServer(settings.callers),
      operators: createServer(settings.operators),
      peers: new PeerServer(settings.peers),
      addresses: {caller: '', operator: '', peer: ''},
    };
    return {
      api,
      async start() {
        const {addresses} = api;
        const caller = await api.callers.start();
        const peer = await api.peers.start();
        addresses.operator = await api.operators.start();
        addresses.caller = settings.callersAdvertise || caller;
        addresses.peer = settings.peersAdvertise || peer;
        context.log.writeInfo('Listening.', {...addresses});
      },
      async stop() {
        await api.callers.stop();
        await api.operators.stop();
        await api.peers.stop();
      },
    };
  },
});

function createCloseCounter(registry: Registry): Counter<'reason'> {
  return new Counter({
    name: 'irisdock_guarded_closes_total',
    help: 'Connections closed as their clients sent too many requests ahead or did not read an answer, a count, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
}
