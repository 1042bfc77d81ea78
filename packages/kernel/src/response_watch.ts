/**
 * Watches what arrives on the connection of a request until its response is
 * over, so that no server can take the time or the memory of this process,
 * whatever bytes it sends. A response costs time by its parts (chunks, events)
 * rather than by its bytes.
 *
 * - Bytes without content are bounded: the head, informational responses before
 *   it, the framing of chunks, and events without data such as comments. They
 *   may take as much as the content does, and a fixed amount beyond that, which
 *   grows with time for the sake of comments that keep a connection alive.
 * - A response whose parts arrive at a higher rate than those of a language
 *   model do shares a part of the process's time with all others of the kind
 *   (see `ReadShare`). It goes on, and is not slowed while there are few.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {BUFFER_COLLECTION} from './buffer_collection.js';
import {READ_SHARE, type ReadShare} from './read_share.js';

/**
 * The most bytes before the end of a response's head: four heads of the size
 * that the parser accepts, the last one and three informational ones. The
 * parser bounds one head, but neither empty lines before it nor their number.
 */
const MAX_HEAD_BYTES = 65_536;
/** The most bytes without content beyond the content, the head included. */
const MAX_EMPTY_BYTES = 327_680;
/** How fast that bound grows, in bytes/s: 50 comments of a few words. */
const EMPTY_BYTES_PER_S = 4096;
/** An event without data takes as long to handle as so many bytes. */
const EMPTY_EVENT_BYTES = 64;
/** What Node reads at once; V8 collects the buffers of less in time. */
const FULL_READ_BYTES = 65_536;
/** How many parts may arrive at once. */
const MAX_BURST_PARTS = 8192;
/** How many parts a second any response may have without waiting. */
const PARTS_PER_S = 4096;
const MS_PER_SECOND = 1000;

/** What was too much of a response, or that it waited for its turns. */
export type ResponseExcess = 'content' | 'head' | 'paced';

/** Learns when a response exceeds a bound. */
export interface ResponseObserver {
  /** Must end the request; called at most once. */
  handleExcess(excess: Exclude<ResponseExcess, 'paced'>): void;
  /** Records that the response waits for its turns; called at most once. */
  recordPaced?(): void;
}

/** Watches the connection of one request. */
export class ResponseWatch {
  private message: IncomingMessage | undefined;
  private readonly startedAt: number;
  private wireBytes = 0;
  private contentBytes = 0;
  /** What events without data cost, in bytes. */
  private emptyEventBytes = 0;
  private readStartedAt = 0;
  private parts = 0;
  private spareParts = MAX_BURST_PARTS;
  private partsAt: number;
  private isOver = false;
  private wasPaced = false;
  private excess: ResponseExcess | undefined;

  constructor(
    private readonly clientRequest: ClientRequest,
    private readonly observer: ResponseObserver,
    private readonly share: Pick<ReadShare, 'pause' | 'release'> = READ_SHARE,
    private readonly getNow = () => performance.now(),
  ) {
    this.startedAt = getNow();
    this.partsAt = this.startedAt;
    clientRequest.once('socket', (socket) => {
      this.watch(socket);
    });
    clientRequest.once('response', (message) => {
      this.message = message;
    });
  }

  /** Why the response was ended; undefined if it was not. */
  get fault(): string | undefined {
    if (this.excess === undefined) return undefined;
    const isHead = this.excess === 'head';
    return isHead ? 'its head is too long' : 'it has too little content';
  }

  /** Lets the response wait for its turn from its first byte on. */
  pause(): void {
    this.clientRequest.once('socket', (socket) => {
      this.share.pause(socket, 0);
    });
  }

  /** Records a part of the body that its reader has taken. */
  recordPart(part: Buffer): void {
    this.contentBytes += part.length;
    this.parts++;
  }

  /** Records events that a part has completed. */
  recordEvents(count: number): void {
    this.parts += count;
  }

  /** Records an event without data, which brings a caller nothing. */
  recordEmptyEvent(bytes: Buffer): void {
    this.emptyEventBytes += bytes.length + EMPTY_EVENT_BYTES;
  }

  private watch(socket: Socket): void {
    const startRead = (): void => {
      this.readStartedAt = this.getNow();
    };
    const finishRead = (chunk: Buffer): void => {
      // Removing a listener does not take effect for the chunk being emitted.
      if (!this.isOver) this.finishRead(socket, chunk);
    };
    socket.prependListener('data', startRead);
    socket.on('data', finishRead);
    this.clientRequest.once('close', () => {
      this.isOver = true;
      socket.removeListener('data', startRead);
      socket.removeListener('data', finishRead);
      this.share.release(socket);
    });
  }

  private finishRead(socket: Socket, chunk: Buffer): void {
    this.wireBytes += chunk.length;
    if (chunk.length >= FULL_READ_BYTES) {
      BUFFER_COLLECTION.recordRead(chunk.length);
    }
    const excess = this.findExcess();
    if (excess !== undefined) {
      this.isOver = true;
      this.excess = excess;
      this.observer.handleExcess(excess);
      return;
    }
    if (this.takeParts() || this.message?.complete === true) return;
    this.share.pause(socket, this.getNow() - this.readStartedAt);
    if (this.wasPaced) return;
    this.wasPaced = true;
    this.observer.recordPaced?.();
  }

  private findExcess(): 'content' | 'head' | undefined {
    const {message, wireBytes, contentBytes, emptyEventBytes} = this;
    if (message === undefined) {
      return wireBytes > MAX_HEAD_BYTES ? 'head' : undefined;
    }
    const received = contentBytes + message.readableLength;
    const empty = wireBytes - received + emptyEventBytes;
    const useful = Math.max(0, received - emptyEventBytes);
    const seconds = (this.getNow() - this.startedAt) / MS_PER_SECOND;
    const growth = seconds * EMPTY_BYTES_PER_S;
    return empty > MAX_EMPTY_BYTES + growth + useful ? 'content' : undefined;
  }

  /** Takes the parts of a read from those that need not wait. */
  private takeParts(): boolean {
    const now = this.getNow();
    const gained = ((now - this.partsAt) / MS_PER_SECOND) * PARTS_PER_S;
    const spare = Math.min(MAX_BURST_PARTS, this.spareParts + gained);
    const taken = Math.max(1, this.parts);
    this.parts = 0;
    this.partsAt = now;
    this.spareParts = Math.max(0, spare - taken);
    return taken <= spare;
  }
}
