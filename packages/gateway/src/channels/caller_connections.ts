/**
 * The connections of callers: which of them carry a request, and which are
 * idle and may be closed.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Tracks the connections of a server for callers. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(private readonly server: Server) {
    server.on('connection', (socket) => {
      socket.setNoDelay(true);
      this.connections.set(socket, new CallerConnection(socket));
      socket.once('close', () => this.connections.delete(socket));
    });
  }

  /** Takes in a request. */
  accept(message: IncomingMessage, response: ServerResponse): void {
    this.connections.get(message.socket)?.accept(message, response);
  }

  /** Counts the connections on which a request is received or answered. */
  countBusy(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      if (connection.isBusy) count++;
    }
    return count;
  }

  /**
   * Closes the connections that have carried requests and are idle now. The
   * caller of a connection without any request yet is about to send one.
   */
  closeIdle(): void {
    for (const [socket, connection] of this.connections) {
      if (connection.hasServed && !connection.isBusy) socket.destroy();
    }
  }

  /** Stops listening and closes all connections. */
  closeAll(): void {
    this.server.close();
    for (const socket of this.connections.keys()) socket.destroy();
  }
}

/** One connection of a caller. */
class CallerConnection {
  /** Whether it has carried a request. */
  hasServed = false;
  private openResponses = 0;
  /** How much had been read when the last request was complete, in bytes. */
  private servedBytes = 0;

  constructor(private readonly socket: Socket) {}

  /**
   * Whether a part of a request has arrived, or a response has not been handed
   * over whole to the kernel. A response that has ended may still be waiting in
   * the write buffer for its caller to read.
   */
  get isBusy(): boolean {
    return this.openResponses > 0 || this.socket.bytesRead > this.servedBytes;
  }

  /** Takes in a request. */
  accept(message: IncomingMessage, response: ServerResponse): void {
    this.hasServed = true;
    this.openResponses++;
    let isMarked = false;
    const markRead = (): void => {
      if (!isMarked) this.servedBytes = this.socket.bytesRead;
      isMarked = true;
    };
    message.once('end', markRead);
    response.once('close', () => {
      markRead();
      this.openResponses--;
    });
  }
}
