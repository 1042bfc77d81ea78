/**
 * An agent whose idle connections are closed as soon as data arrives on them,
 * which would be taken for the next response.
 */
import {Agent, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/** How long an idle connection is kept, in ms. */
const IDLE_MS = 4000;

/** Keeps connections between calls. */
export class KeptConnections extends Agent {
  constructor() {
    super({keepAlive: true, noDelay: true, timeout: IDLE_MS});
  }

  /** The hook of Node: whether to keep a connection after its request. */
  override keepSocketAlive(socket: Socket): boolean {
    socket.on('data', closeSocket);
    super.keepSocketAlive(socket);
    return true;
  }

  /** The hook of Node: prepares an idle connection for its next request. */
  // eslint-disable-next-line @typescript-eslint/naming-convention -- the name of Node's hook
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('data', closeSocket);
    super.reuseSocket(socket, request);
  }
}

function closeSocket(this: Socket): void {
  this.destroy();
}
