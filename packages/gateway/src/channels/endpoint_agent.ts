/**
 * The connections to endpoints that are kept between requests. A kept
 * connection is closed before its endpoint would close it, as a request that
 * crosses the close may have run; and as soon as bytes arrive on it that
 * answer nothing, as they would be taken for the next answer.
 */
import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** How long a connection is kept when its endpoint does not say, in ms. */
const DEFAULT_KEEP_MS = 4000;
/** Stays clear of the time that the endpoint names, in ms. */
const KEEP_MARGIN_MS = 700;
/** Kept connections to one endpoint; a host rarely has more at once. */
const MAX_KEPT_PER_ENDPOINT = 6;
const KEEP_ALIVE_HINT = /(?:^|[\s,;])timeout=(\d+)/i;

interface AnsweredSocket extends Socket {
  /** Set by Node on the socket of a request. */
  _httpMessage?: {res?: IncomingMessage};
}

/** An agent with the rules above. */
export class EndpointAgent extends Agent {
  constructor() {
    super({
      keepAlive: true,
      noDelay: true,
      scheduling: 'lifo',
      maxFreeSockets: MAX_KEPT_PER_ENDPOINT,
    });
  }

  // Node's name for the hook. eslint-disable-next-line is not needed: `keep`
  // is one of the verbs.
  override keepSocketAlive(socket: AnsweredSocket): boolean {
    const keepMs = getKeepMs(socket._httpMessage?.res);
    if (keepMs <= 0) return false;
    socket.setTimeout(keepMs);
    socket.once('timeout', closeSocket);
    socket.on('data', closeSocket);
    socket.unref();
    return true;
  }

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

function getKeepMs(answer: IncomingMessage | undefined): number {
  const hint = answer?.headers['keep-alive'];
  if (typeof hint !== 'string') return DEFAULT_KEEP_MS;
  const seconds = KEEP_ALIVE_HINT.exec(hint)?.[1];
  if (seconds === undefined) return DEFAULT_KEEP_MS;
  return Math.min(DEFAULT_KEEP_MS, Number(seconds) * 1000 - KEEP_MARGIN_MS);
}
