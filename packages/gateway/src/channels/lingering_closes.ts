/**
 * Lingering closes of connections to callers (RFC 9112, section 9.6). Closing a
 * connection with unread bytes resets it, and a caller that is still sending
 * loses the answer. Instead, the host ends its own direction only, and reads
 * and discards the rest of the request before it closes the connection.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  BUFFER_COLLECTION,
  READ_TURNS,
  type Clock,
  type LogFields,
  type Logger,
} from '@irisdock/kernel';
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
    const {socket, url} = message;
    this.start(socket, url, new MessageRefusal(message, response, body));
  }

  /** Sends a response to a request of which Node made no message. */
  endUnparsed(socket: Socket, bytes: Buffer): void {
    this.start(socket, undefined, new UnparsedRefusal(socket, bytes));
  }

  private start(
    socket: Socket,
    path: string | undefined,
    refusal: Refusal,
  ): void {
    const {bounds, clock} = this.parts;
    if (socket.destroyed) return;
    const caller = socket.remoteAddress;
    const startedAt = clock.getNow();
    const close = new LingeringClose(socket, refusal, bounds, (reason) => {
      this.open.delete(socket);
      const ms = Math.round(clock.getNow() - startedAt);
      this.record(reason, {path, caller, ms});
    });
    this.closing.add(socket);
    this.open.set(socket, close);
    close.start();
    if (this.open.size <= bounds.maxConnections) return;
    const [oldest] = this.open.values();
    oldest?.end('count');
  }

  private record(reason: LingerEnd, fields: LogFields): void {
    const {closes, log} = this.parts;
    closes.inc({reason});
    if (!EARLY_ENDS.has(reason)) return;
    log.writeInfo('Closed a connection whose request was still arriving.', {
      reason,
      ...fields,
    });
  }
}

/** A refusal whose request is still arriving. */
interface Refusal {
  /** Sends the refusal; calls back once it has left. */
  send(handleSent: () => void): void;
  /** Watches for the end of the request, by itself or by its caller. */
  watchEnd(handleEnd: (reason: 'body-ended' | 'caller') => void): void;
  /** Reads and discards what arrives. */
  drop(): void;
  /** Ends the response once the request has ended. */
  finish(): void;
}

/** The refusal of a request that Node parses. */
class MessageRefusal implements Refusal {
  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly body: Buffer,
  ) {}

  send(handleSent: () => void): void {
    // A head without a body, in answer to HEAD, isn't sent by writing.
    this.response.flushHeaders();
    // Behind another response on the connection it waits for its turn.
    this.response.write(this.body, handleSent);
  }

  watchEnd(handleEnd: (reason: 'body-ended' | 'caller') => void): void {
    this.message.once('end', () => {
      handleEnd('body-ended');
    });
    this.message.once('close', () => {
      handleEnd('caller');
    });
  }

  drop(): void {
    this.message.resume();
  }

  finish(): void {
    this.response.end();
  }
}

/** The refusal of a request that Node can't parse. */
class UnparsedRefusal implements Refusal {
  constructor(
    private readonly socket: Socket,
    private readonly bytes: Buffer,
  ) {}

  send(handleSent: () => void): void {
    this.socket.write(this.bytes, handleSent);
  }

  watchEnd(handleEnd: (reason: 'body-ended' | 'caller') => void): void {
    this.socket.once('close', () => {
      handleEnd('caller');
    });
  }

  drop(): void {
    this.socket.resume();
  }

  finish(): void {
    this.socket.destroy();
  }
}

/** One connection that is being closed. */
class LingeringClose {
  private readonly bytesBefore: number;
  private timer: NodeJS.Timeout | undefined;
  private hasEnded = false;

  constructor(
    private readonly socket: Socket,
    private readonly refusal: Refusal,
    private readonly bounds: LingerBounds,
    private readonly handleEnd: (reason: LingerEnd) => void,
  ) {
    this.bytesBefore = socket.bytesRead;
  }

  /** Sends the rest of the response, then waits for the request to end. */
  start(): void {
    this.refusal.watchEnd((reason) => {
      this.end(reason);
    });
    // The caller may leave unread what was sent before the refusal.
    this.startTimer();
    this.refusal.send(() => {
      this.startDiscarding();
    });
  }

  /** Closes the connection. */
  end(reason: LingerEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.handleEnd(reason);
    if (reason === 'body-ended') this.refusal.finish();
    else this.socket.destroy();
  }

  private startTimer(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.end('time');
    }, this.bounds.maxMs);
  }

  private startDiscarding(): void {
    const {socket, bounds} = this;
    if (this.hasEnded) return;
    this.startTimer();
    socket.end();
    // Not those of the message: the parser passes none on after a fault.
    socket.on('data', (part: Buffer) => {
      BUFFER_COLLECTION.recordRead(part.length);
      READ_TURNS.pause(socket);
      const bytes = socket.bytesRead - this.bytesBefore;
      if (bytes > bounds.maxBytes) this.end('bytes');
    });
    this.refusal.drop();
  }
}
