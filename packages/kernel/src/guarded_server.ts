/**
 * An HTTP server that clients which don't behave can't exhaust. The requests on
 * a connection are served one after the other, each once the answer before it
 * has been handed over, so that what a client does not read is not answered
 * further. A connection whose client does not read its answer is closed.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {RequestBacklog} from './request_backlog.js';
import {RequestQueue, type QueuedRequest} from './request_queue.js';

/** Serves one request. */
export type ServeMessage = (
  message: IncomingMessage,
  response: ServerResponse,
) => void;

/** Why a guarded server closed a connection. */
export type GuardReason = 'backlog' | 'unread';

/** How a server is guarded. */
export interface ServerGuard {
  /** The requests that wait on all connections of the host. */
  readonly backlog: RequestBacklog;
  /** How long a client may take nothing of an answer that has ended, in ms. */
  readonly maxStallMs: number;
  /** Called when a connection is closed. */
  handleClose(reason: GuardReason): void;
}

/** Creates a server whose requests are served in turn. */
export function createGuardedServer(
  guard: ServerGuard,
  serve: ServeMessage,
): Server {
  const connections = new WeakMap<Socket, GuardedConnection>();
  const server = createServer((message, response) => {
    connections.get(message.socket)?.accept({message, response});
  });
  server.timeout = guard.maxStallMs;
  server.on('connection', (socket) => {
    connections.set(socket, new GuardedConnection(socket, guard, serve));
  });
  server.on('timeout', (socket: Socket) => {
    connections.get(socket)?.closeIfStalled();
  });
  return server;
}

/** One connection of a guarded server. */
class GuardedConnection {
  private readonly queue: RequestQueue<QueuedRequest>;
  private turn: NodeJS.Immediate | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly guard: ServerGuard,
    private readonly serve: ServeMessage,
  ) {
    this.queue = new RequestQueue(socket, guard.backlog, () => {
      guard.handleClose('backlog');
    });
    socket.once('close', () => {
      clearImmediate(this.turn);
    });
  }

  /** Takes in a request. */
  accept(request: QueuedRequest): void {
    if (this.socket.destroyed) return;
    request.response.once('close', () => {
      // What was not read of a body would hold up the next request.
      request.message.resume();
      this.serveNext();
    });
    if (this.queue.add(request)) this.serve(request.message, request.response);
  }

  /** Closes the connection unless an answer is still being made. */
  closeIfStalled(): void {
    const {first} = this.queue;
    if (first !== undefined && !first.response.writableEnded) return;
    if (first !== undefined) this.guard.handleClose('unread');
    this.socket.destroy();
  }

  private serveNext(): void {
    if (this.socket.destroyed) return;
    const next = this.queue.takeNext();
    if (next === undefined) return;
    // Other connections have their turn between two requests of this one.
    this.turn = setImmediate(() => {
      if (!this.socket.destroyed) this.serve(next.message, next.response);
    });
  }
}
