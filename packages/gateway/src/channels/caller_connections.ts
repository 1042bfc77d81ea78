/**
 * The connections of callers: which of them carry a request, which are idle
 * and may be closed, and how long an idle one is kept. Requests on the same
 * connection are served one after the other, as an answer may close it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {
  RequestBacklog,
  RequestQueue,
  type KnownError,
  type Logger,
  type QueuedRequest,
  type ServerGuard,
} from '@irisdock/kernel';
import {GATEWAY_ERRORS} from '../errors.js';
import type {CallerLimits} from '../model/serving_configuration.js';
import {IdleLimit} from './idle_limit.js';
import {closeIncomplete} from './incomplete_answer.js';
import {findRequestFault} from './request_faults.js';

/**
 * The shortest time for which an idle connection is kept, in ms: the header
 * Keep-Alive has whole seconds, and callers read 0 in different ways.
 */
const MIN_IDLE_TIME_MS = 1000;
/**
 * How much longer than announced an idle connection is kept, in ms, for a
 * request that its caller sent at the last moment.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** The most turns of the event loop in which a quiet one is awaited. */
const MAX_ACCEPT_TURNS = 100;

/** What connections share with those of other servers of the host. */
type ConnectionGuard = Pick<ServerGuard, 'backlog' | 'handleClose'>;

/** The error of the parser when a caller ends amid a request. */
const ENDED_AMID_REQUEST = 'HPE_INVALID_EOF_STATE';

/** The limits that concern connections. */
export type ConnectionLimits = Pick<
  CallerLimits,
  'headerTimeoutMs' | 'idleTimeoutMs'
>;

/** Refuses bytes on a connection that are no request, and closes it. */
export type FaultHandler = (socket: Socket, fault: KnownError) => void;

/** A request that is being served. */
export interface ServedRequest {
  /** Gives up reading the request, whose rest is malformed. */
  failRequest(fault: KnownError): void;
}

/** Serves a request; undefined if it can't be answered. */
type ServeRequest = () => ServedRequest | undefined;

/** Tracks the connections of a server for callers. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private acceptedCount = 0;

  constructor(
    private readonly server: Server,
    limits: ConnectionLimits,
    private readonly log: Logger,
    private readonly refuse: FaultHandler,
    private readonly guard: ConnectionGuard = createGuard(),
  ) {
    this.applyLimits(limits);
    server.on('connection', (socket) => {
      this.add(socket);
    });
    server.on('clientError', (error, socket) => {
      if (socket instanceof Socket) this.handleError(error, socket);
    });
    // Without a listener, Node closes the connection without an answer.
    server.on('connect', (_, socket) => {
      if (!(socket instanceof Socket)) return;
      // Node has removed its own listener, which emits `clientError`.
      socket.on('error', (error) => {
        this.handleError(error, socket);
      });
      this.setFault(socket, GATEWAY_ERRORS.create('no_tunnel'));
    });
    server.on('timeout', (socket: Socket) => void this.closeExpired(socket));
  }

  /**
   * Puts limits in force. A response announces the idle time that is in force
   * when its request arrives.
   */
  applyLimits({headerTimeoutMs, idleTimeoutMs}: ConnectionLimits): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = Math.max(MIN_IDLE_TIME_MS, idleTimeoutMs);
  }

  /**
   * Takes in a request.
   *
   * @param serve Serves the request; called once the requests before it on its
   *     connection have been answered, and never if that closed it.
   */
  accept(
    message: IncomingMessage,
    response: ServerResponse,
    serve: ServeRequest,
  ): void {
    const announcedMs = this.server.keepAliveTimeout;
    const connection = this.connections.get(message.socket);
    connection?.accept({message, response, announcedMs, serve});
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
   * Closes the connections that have carried requests and are idle. The caller
   * of a connection without any request yet is about to send one.
   */
  async closeIdle(): Promise<void> {
    await waitForReads();
    for (const [socket, connection] of this.connections) {
      if (connection.hasServed && !connection.isBusy) socket.destroy();
    }
  }

  /**
   * Refuses further connections; those that are open go on. The kernel resets
   * what waits to be accepted, so the listener closes in a turn in which no connection came.
   */
  async stopListening(): Promise<void> {
    for (let turn = 0; turn < MAX_ACCEPT_TURNS; turn++) {
      const before = this.acceptedCount;
      await waitForReads();
      if (this.acceptedCount === before) break;
    }
    if (!this.server.listening) return;
    // Node's HTTP server would close idle connections, too, on which a request
    // may be arriving.
    NetServer.prototype.close.call(this.server);
  }

  /** Stops listening and closes all connections. */
  closeAll(): void {
    this.server.close();
    for (const connection of this.connections.values()) connection.close();
  }

  private add(socket: Socket): void {
    this.acceptedCount++;
    socket.setNoDelay(true);
    const connection = new CallerConnection(
      socket,
      this.refuse,
      this.guard,
      () => this.server.headersTimeout,
    );
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      const requests = connection.waitingCount;
      if (requests === 0) return;
      const sentence = 'A connection closed before all its requests had run.';
      this.log.writeInfo(sentence, {requests});
    });
  }

  /** Handles an error of a connection, or of what is read from it. */
  private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
    const fault = findRequestFault(error);
    const hasLeft =
      error.code === ENDED_AMID_REQUEST &&
      this.connections.get(socket)?.isServingWhole === true;
    // Like one that leaves between two requests, it gets no answer any more.
    if (fault === undefined || hasLeft) socket.destroy();
    else this.setFault(socket, fault);
  }

  private setFault(socket: Socket, fault: KnownError): void {
    this.connections.get(socket)?.setFault(fault);
  }

  /**
   * Closes a connection that was silent for its idle time, unless something has
   * arrived meanwhile; reading that starts its timer again.
   */
  private async closeExpired(socket: Socket): Promise<void> {
    const bytesBefore = socket.bytesRead;
    await waitForReads();
    if (this.connections.get(socket)?.isServing === true) return;
    if (socket.bytesRead === bytesBefore) socket.destroy();
  }
}

/** A request on a connection, and its response. */
interface AcceptedRequest extends QueuedRequest {
  /** The idle time that its response announces. */
  readonly announcedMs: number;
  readonly serve: ServeRequest;
}

/** One connection of a caller. */
class CallerConnection {
  /** Whether it has carried a request. */
  hasServed = false;
  /** Requests whose response is not flushed; all but the first wait. */
  private readonly queue: RequestQueue<AcceptedRequest>;
  /** How much had been read when the last request was complete, in bytes. */
  private servedBytes = 0;
  /** What is wrong behind the last complete request. */
  private fault: KnownError | undefined;
  private current: ServedRequest | undefined;
  private turn: NodeJS.Immediate | undefined;
  private readonly idleLimit: IdleLimit;

  constructor(
    private readonly socket: Socket,
    private readonly refuse: FaultHandler,
    guard: ConnectionGuard,
    private readonly getHeaderTimeoutMs: () => number,
  ) {
    this.queue = new RequestQueue(socket, guard.backlog, () => {
      guard.handleClose('backlog');
    });
    this.idleLimit = new IdleLimit(socket);
    socket.once('close', () => {
      clearImmediate(this.turn);
    });
  }

  /**
   * Whether a response has not been handed over whole to the kernel. One that
   * has ended may still wait in the write buffer for its caller to read.
   */
  get isServing(): boolean {
    return this.queue.first !== undefined;
  }

  /** Whether it serves a request that has arrived whole. */
  get isServingWhole(): boolean {
    return this.queue.first?.message.complete === true;
  }

  /** Whether it serves a request, or a part of one has arrived. */
  get isBusy(): boolean {
    return this.isServing || this.socket.bytesRead > this.servedBytes;
  }

  /** The number of requests that wait for those before them. */
  get waitingCount(): number {
    return this.queue.waitingCount;
  }

  /** Takes in a request. */
  accept(request: AcceptedRequest): void {
    const {message, response, announcedMs} = request;
    if (this.socket.destroyed) return;
    this.hasServed = true;
    this.idleLimit.stop();
    let isMarked = false;
    const markRead = (): void => {
      if (!isMarked) this.servedBytes = this.socket.bytesRead;
      isMarked = true;
    };
    message.once('end', markRead);
    response.once('finish', () => {
      this.keepIdle(announcedMs + KEEP_ALIVE_MARGIN_MS);
    });
    response.once('close', () => {
      markRead();
      this.serveNext();
    });
    this.keepOpenFor(request);
    if (this.queue.add(request)) this.serve(request);
  }

  /**
   * Sets what is wrong with what follows the last complete request; the
   * requests before it are answered first. Only the first fault counts, as the
   * parser finds one in all that follows.
   */
  setFault(fault: KnownError): void {
    if (this.fault !== undefined) return;
    this.fault = fault;
    const request = this.queue.first;
    if (request === undefined) this.refuseRest();
    else if (!request.message.complete) this.current?.failRequest(fault);
  }

  /** Closes the connection; an answer that is under way is broken off. */
  close(): void {
    const request = this.queue.first;
    if (request !== undefined) closeIncomplete(request.response);
    this.socket.destroy();
  }

  private serve(request: AcceptedRequest): void {
    this.current = request.serve();
    if (this.fault === undefined || request.message.complete) return;
    this.current?.failRequest(this.fault);
  }

  /** Refuses what follows the last request, unless it was a part of that. */
  private refuseRest(): void {
    if (this.fault === undefined || !this.socket.writable) return;
    this.refuse(this.socket, this.fault);
  }

  /** Lets the response before a request leave the connection open for it. */
  private keepOpenFor(request: AcceptedRequest): void {
    const before = this.queue.last;
    if (before === undefined || before.response.headersSent) return;
    request.response.shouldKeepAlive &&= before.response.shouldKeepAlive;
    before.response.shouldKeepAlive = true;
  }

  /** Serves the next request unless the last response closed the connection. */
  private serveNext(): void {
    if (!this.socket.writable) return;
    this.current = undefined;
    const next = this.queue.takeNext();
    if (next === undefined) {
      this.refuseRest();
      return;
    }
    // Other connections have their turn between two requests of this one.
    this.turn = setImmediate(() => {
      if (this.socket.writable) this.serve(next);
    });
  }

  /**
   * Keeps the connection at least for this time. The server has just set the
   * timer by the idle time in force now, unless it goes on or closes it.
   */
  private keepIdle(ms: number): void {
    const {timeout = 0} = this.socket;
    if (timeout === 0) return;
    if (timeout < ms) this.socket.setTimeout(ms);
    // The head of a request that began within the idle time is complete when
    // its own time limit has passed.
    if (this.waitingCount > 0) return;
    this.idleLimit.start(Math.max(timeout, ms) + this.getHeaderTimeoutMs());
  }
}

/**
 * Waits until what has arrived is read: after a pause of the process, timers
 * run before it.
 */
async function waitForReads(): Promise<void> {
  await waitForTurn();
}

function createGuard(): ConnectionGuard {
  return {backlog: new RequestBacklog(), handleClose: () => undefined};
}
