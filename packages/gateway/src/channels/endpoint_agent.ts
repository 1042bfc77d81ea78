/**
 * The HTTP agent for endpoints, which keeps connections alive between requests.
 * An idle connection is closed before its endpoint would close it, as a request
 * sent during the close may or may not have run. It is also closed as soon as
 * data arrives on it, which would be taken for the next response.
 */
import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectOptions, EndpointNetwork} from './endpoint_network.js';

/** The idle time of connections whose endpoint announces none, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 4000;
/** How long before the end of the announced idle time to close, in ms. */
const KEEP_ALIVE_MARGIN_MS = 700;
/** Idle connections per endpoint; a host rarely has more in use at once. */
const MAX_IDLE_SOCKETS = 6;
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,;])timeout=(\d+)/i;

interface RequestSocket extends Socket {
  /** Set by Node on the socket of a request. */
  _httpMessage?: {res?: IncomingMessage};
}

/** An agent that closes idle connections as described above. */
export class EndpointAgent extends Agent {
  constructor(private readonly network: EndpointNetwork) {
    super({
      keepAlive: true,
      noDelay: true,
      scheduling: 'lifo',
      maxFreeSockets: MAX_IDLE_SOCKETS,
    });
  }

  /** The hook of Node: opens a connection for a request. */
  override createConnection(options: ConnectOptions): Socket {
    return this.network.open(options);
  }

  /** The hook of Node: whether to keep a connection after its request. */
  override keepSocketAlive(socket: RequestSocket): boolean {
    const keepAliveMs = getKeepAliveMs(socket._httpMessage?.res);
    if (keepAliveMs <= 0) return false;
    socket.setTimeout(keepAliveMs);
    socket.once('timeout', closeSocket);
    socket.on('data', closeSocket);
    socket.unref();
    return true;
  }

  /** The hook of Node: prepares an idle connection for its next request. */
  // eslint-disable-next-line @typescript-eslint/naming-convention -- the name of Node's hook
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('timeout', closeSocket);
    socket.removeListener('data', closeSocket);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

function closeSocket(this: Socket): void {
  this.destroy();
}

function getKeepAliveMs(response: IncomingMessage | undefined): number {
  const hint = response?.headers['keep-alive'];
  if (typeof hint !== 'string') return DEFAULT_KEEP_ALIVE_MS;
  const seconds = KEEP_ALIVE_TIMEOUT.exec(hint)?.[1];
  if (seconds === undefined) return DEFAULT_KEEP_ALIVE_MS;
  return Math.min(
    DEFAULT_KEEP_ALIVE_MS,
    Number(seconds) * 1000 - KEEP_ALIVE_MARGIN_MS,
  );
}
