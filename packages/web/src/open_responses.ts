/** The responses of a server that have not been flushed, by connection. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Tracks the responses of a server until they are flushed. */
export class OpenResponses {
  private readonly bySocket = new Map<Socket, Set<ServerResponse>>();

  constructor(server: Server) {
    server.on('connection', (socket) => {
      this.bySocket.set(socket, new Set());
      // A response behind another one isn't told that its connection closed.
      socket.once('close', () => this.bySocket.delete(socket));
    });
  }

  /** The number of responses that have not been flushed. */
  get size(): number {
    let size = 0;
    for (const responses of this.bySocket.values()) size += responses.size;
    return size;
  }

  /** Whether a response has ended that still waits for its caller to read. */
  get hasEnded(): boolean {
    for (const responses of this.bySocket.values()) {
      for (const response of responses) {
        if (response.writableEnded) return true;
      }
    }
    return false;
  }

  /** Adds a response until it is flushed or its connection is closed. */
  add(message: IncomingMessage, response: ServerResponse): void {
    const responses = this.bySocket.get(message.socket);
    responses?.add(response);
    response.once('close', () => responses?.delete(response));
  }
}
