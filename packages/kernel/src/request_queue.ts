/**
 * The requests on one connection, which are served one after the other. A
 * client may send requests ahead of their answers; each costs far more memory
 * than its bytes once it is parsed. Few wait on one connection, which is not
 * read further meanwhile, and all that wait at a host have a bound together.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {BufferHold} from './buffer_budget.js';
import {EarlyBody} from './early_body.js';
import type {RequestBacklog} from './request_backlog.js';

/**
 * Above this number of requests that wait for those before them, nothing more
 * is read from their connection.
 */
const MAX_WAITING_REQUESTS = 100;

/** The memory of a parsed request without its header lines, in bytes. */
const REQUEST_BYTES = 2560;

/** A request and its response. */
export interface QueuedRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** A request that waits. */
interface WaitingRequest {
  readonly headBytes: number;
  /** What has arrived of a chunked body; undefined without one. */
  readonly body: EarlyBody | undefined;
}

/** The requests of one connection. */
export class RequestQueue<T extends QueuedRequest> {
  private readonly requests: T[] = [];
  /** Of all requests but the first. */
  private readonly waiting: WaitingRequest[] = [];
  private readonly hold: BufferHold;
  private waitingBytes = 0;
  /** Whether it was paused. */
  private hasPaused = false;
  /** Whether nothing is read in this turn. */
  private isStopped = false;

  /** @param handleExcess Called before the connection is closed for others. */
  constructor(
    private readonly socket: Socket,
    backlog: RequestBacklog,
    handleExcess: () => void,
  ) {
    this.hold = backlog.add({
      closeExcess: () => {
        handleExcess();
        socket.destroy();
      },
      stopReading: () => {
        this.isStopped = true;
        this.pauseIfFull();
      },
      startReading: () => {
        this.isStopped = false;
        this.resumeIfPaused();
      },
    });
    socket.once('close', () => {
      this.hold.close();
    });
    // Node resumes the connection whenever it has parsed or reads a message.
    socket.on('resume', () => {
      this.pauseIfFull();
    });
  }

  /** The request that is being served. */
  get first(): T | undefined {
    return this.requests[0];
  }

  /** The last request that has arrived. */
  get last(): T | undefined {
    return this.requests.at(-1);
  }

  /** The number of requests that wait for those before them. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  private get isFull(): boolean {
    return this.isStopped || this.waitingCount >= MAX_WAITING_REQUESTS;
  }

  /** Adds a request; returns whether it is the only one. */
  add(request: T): boolean {
    this.requests.push(request);
    if (this.requests.length === 1) return true;
    const {message} = request;
    const headBytes = computeBytes(message);
    const body = EarlyBody.tryStart(message, (bytes) => {
      this.addWaiting(bytes);
    });
    this.waiting.push({headBytes, body});
    this.addWaiting(headBytes);
    // Within this turn, Node resumes the connection after each message.
    if (this.isFull) {
      process.nextTick(() => {
        this.pauseIfFull();
      });
    }
    return false;
  }

  /** Drops the first request; returns the next one, which waits no longer. */
  takeNext(): T | undefined {
    this.requests.shift();
    const waiting = this.waiting.shift();
    if (waiting === undefined) {
      this.resumeIfPaused();
      return undefined;
    }
    const {headBytes, body} = waiting;
    this.addWaiting(-headBytes - (body?.memoryBytes ?? 0));
    body?.stop();
    // Whoever serves a request whose body still arrives resumes the connection.
    if (body?.isWhole !== false) this.resumeIfPaused();
    return this.first;
  }

  private addWaiting(bytes: number): void {
    this.waitingBytes += bytes;
    this.hold.set(this.waitingBytes);
  }

  private pauseIfFull(): void {
    if (!this.isFull) return;
    this.hasPaused = true;
    this.socket.pause();
  }

  private resumeIfPaused(): void {
    if (this.isFull || !this.hasPaused || this.socket.destroyed) return;
    this.hasPaused = false;
    this.socket.resume();
  }
}

/** Computes roughly the memory of a parsed request, in bytes. */
function computeBytes({rawHeaders}: IncomingMessage): number {
  let bytes = REQUEST_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
