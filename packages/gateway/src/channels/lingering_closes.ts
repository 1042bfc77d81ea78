/**
 * Lingering closes of connections to callers (RFC 9112, section 9.6). Closing a
 * connection with unread bytes resets it, and a caller that is still sending
 * loses the answer. Instead, the host ends its own direction only, and reads
 * and discards the rest of the request before it closes the connection.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Logger} from '@irisdock/kernel';
import type {Counter} from 'prom-client';

/** How far a host goes to let refusals reach their callers. */
export interface LingerBounds {
  /** What is read from one connection, in bytes. */
  readonly maxBytes: number;
  /** How long one connection stays open, in ms. */
  readonly maxMs: number;
  /** How many connections stay open at once. */
  readonly maxConnections: number;
}

/** The bounds of a host. */
export const LINGER_BOUNDS: LingerBounds = {
  // Four times the largest body that is accepted without configured limits.
  maxBytes: 16 * 1024 * 1024,
  // A body of 1 MB arrives in this time over a link of 1 Mbit/s.
  maxMs: 10_000,
  // Each has a read buffer of 64 KiB: 64 MiB together.
  maxConnections: 1024,
};

/** Why a lingering connection was closed. */
export type LingerEnd = 'body-ended' | 'bytes' | 'caller' | 'count' | 'time';

/** Ends after which the caller may lack the answer. */
const EARLY_ENDS: ReadonlySet<LingerEnd> = new Set(['bytes', 'count', 'time']);

/** Dependencies of the lingering closes. */
export interface LingeringClosesParts {
  readonly bounds: LingerBounds;
  readonly clock: Clock;
  readonly log: Logger;
  /** Counts closed connections by the reason. */
  readonly closes: Counter;
}

/** The connections of one host that are being closed. */
export class LingeringCloses {
  /** In the order of their start. */
  private readonly open = new Map<Socket, LingeringClose>();
  private readonly closing = new WeakSet<Socket>();

  constructor(private readonly parts: LingeringClosesParts) {}

  /** How many connections linger. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Whether a connection is being closed. A request that arrives on it can't be
   * answered.
   */
  has(socket: Socket): boolean {
    return this.closing.has(socket);
  }

  /** Ends a response whose head is written, while its request arrives. */
  end(message: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const {socket} = message;
    const {bounds, clock} = this.parts;
    if (socket.destroyed) return;
    const startedAt = clock.getNow();
    const close = new LingeringClose(message, response, bounds, (reason) => {
      this.open.delete(socket);
      this.record(reason, message, clock.getNow() - startedAt);
    });
    this.closing.add(socket);
    this.open.set(socket, close);
    close.start(body);
    if (this.open.size <= bounds.maxConnections) return;
    const [oldest] = this.open.values();
    oldest?.end('count');
  }

  private record(
    reason: LingerEnd,
    message: IncomingMessage,
    ms: number,
  ): void {
    const {closes, log} = this.parts;
    closes.inc({reason});
    if (!EARLY_ENDS.has(reason)) return;
    log.writeInfo('Closed a connection whose request was still arriving.', {
      reason,
      path: message.url,
      caller: message.socket.remoteAddress,
      ms: Math.round(ms),
    });
  }
}

/** One connection that is being closed. */
class LingeringClose {
  private readonly bytesBefore: number;
  private timer: NodeJS.Timeout | undefined;
  private hasEnded = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly bounds: LingerBounds,
    private readonly handleEnd: (reason: LingerEnd) => void,
  ) {
    this.bytesBefore = message.socket.bytesRead;
  }

  /** Sends the rest of the response, then waits for the request to end. */
  start(body: Buffer): void {
    const {message, response} = this;
    message.once('end', () => {
      this.end('body-ended');
    });
    message.once('close', () => {
      this.end('caller');
    });
    // A head without a body, in answer to HEAD, isn't sent by writing.
    response.flushHeaders();
    // Behind another response on the connection it waits for its turn.
    response.write(body, () => {
      this.startDiscarding();
    });
  }

  /** Closes the connection. */
  end(reason: LingerEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.handleEnd(reason);
    if (reason === 'body-ended') this.response.end();
    else this.message.socket.destroy();
  }

  private startDiscarding(): void {
    const {message, bounds} = this;
    if (this.hasEnded) return;
    this.timer = setTimeout(() => {
      this.end('time');
    }, bounds.maxMs);
    message.socket.end();
    message.on('data', () => {
      const bytes = message.socket.bytesRead - this.bytesBefore;
      if (bytes > bounds.maxBytes) this.end('bytes');
    });
    message.resume();
  }
}
