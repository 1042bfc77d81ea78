/**
 * One HTTP exchange with a caller: headers and body of the request, its time
 * limit, the caller's disconnection, and the single final answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  isContinueExpected,
  isLargerThan,
  readRequestBody,
  type BodyFault,
  type BodyMemory,
  type KnownError,
} from '@irisdock/kernel';
import {
  findHeader,
  formatRawHeaders,
  listHeaderValues,
  readHeaderLines,
} from '../channels/header_lines.js';
import {closeIncomplete} from '../channels/incomplete_answer.js';
import {parseRequestTarget} from '../channels/request_target.js';
import type {LingeringCloses} from '../channels/lingering_closes.js';
import type {UnreadAnswer, UnreadAnswers} from '../channels/unread_answers.js';
import type {RelayHop} from '../model/relay_path.js';
import type {HeaderLines, RequestMetadata} from '../model/request_metadata.js';
import {dropHostHeaders} from './host_headers.js';
import {createRefusalResponse} from './refusal_response.js';
import {UNFRAMED_LINE} from './relayed_framing.js';

/** A complete answer of an endpoint that is not an event stream. */
export interface PlainAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  /** Whether the body had a Content-Length or was chunked. */
  readonly isFramed: boolean;
}

/** One exchange with a caller. */
export class CallerExchange {
  readonly lines: HeaderLines;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Aborted when the caller disconnects or the time is over. */
  readonly signal: AbortSignal;
  private readonly answer: UnreadAnswer;
  private readonly controller = new AbortController();
  private hasExpired = false;
  private hasStopped = false;
  private fault: KnownError | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasFinalAnswer = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    /** When the head arrived, on the monotonic clock. */
    readonly startedAt: number,
    private readonly lingeringCloses: LingeringCloses,
    unreadAnswers: UnreadAnswers,
    /** The host that relayed the request; undefined if its caller sent it. */
    readonly hop?: RelayHop,
  ) {
    const {path, host} = parseRequestTarget(message.url ?? '/');
    const lines = readHeaderLines(message);
    this.path = path;
    this.lines = host === undefined ? lines : setHost(lines, host);
    this.signal = this.controller.signal;
    this.answer = unreadAnswers.open(response);
    message.on('error', () => undefined);
    response.on('error', () => undefined);
    response.once('close', () => {
      clearTimeout(this.timer);
      if (!response.writableFinished) this.controller.abort();
    });
  }

  get method(): string {
    return this.message.method ?? 'GET';
  }

  /** The value of the Host header; empty if there is none. */
  get hostHeader(): string {
    return findHeader(this.lines, 'host') ?? '';
  }

  /** What makes the Host header invalid (RFC 9112, 3.2), if anything does. */
  get hostFault(): string | undefined {
    const count = listHeaderValues(this.lines, 'host').length;
    if (count > 1) return 'it has several Host headers';
    const isNeeded = this.message.httpVersion !== '1.0';
    return isNeeded && count === 0 ? 'it has no Host header' : undefined;
  }

  /** Whether the caller disconnected before its answer was complete. */
  hasDisconnected(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /** Whether the time limit expired, or the host must stop. */
  get isExpired(): boolean {
    return this.hasExpired;
  }

  /** Whether the request has no more time because the host must stop. */
  get isStopped(): boolean {
    return this.hasStopped;
  }

  /** Why the rest of the request can't be read; undefined if it can. */
  get requestFault(): KnownError | undefined {
    return this.fault;
  }

  /** Whether the headers of an answer were sent. */
  get isAnswered(): boolean {
    return this.response.headersSent;
  }

  /** Aborts the request after this time. */
  setTimeLimit(ms: number): void {
    this.timer = setTimeout(
      () => {
        this.endTime();
      },
      Math.max(0, ms),
    );
  }

  /**
   * Ends the time of the request, as the host must stop; false if its answer
   * has begun, which may still end by itself.
   */
  stop(): boolean {
    if (this.isFinal || this.isExpired || this.isAnswered) return false;
    this.hasStopped = true;
    this.endTime();
    return true;
  }

  /** Reads the whole body of the request until it is aborted. */
  async readBody(
    maxBytes: number,
    memory: BodyMemory,
  ): Promise<Buffer | BodyFault> {
    const {message, response, signal} = this;
    if (isLargerThan(message, maxBytes)) return 'too-large';
    if (isContinueExpected(message)) response.writeContinue();
    return readRequestBody(message, response, {maxBytes, signal, memory});
  }

  /** Gives up reading the request, whose rest is malformed. */
  failRequest(fault: KnownError): void {
    if (this.isFinal) return;
    this.fault = fault;
    this.controller.abort();
  }

  /** Sends a complete answer of an endpoint. */
  sendAnswer(answer: PlainAnswer): void {
    if (!this.takeFinal()) return;
    const {status, lines, body, isFramed} = answer;
    const raw = formatRawHeaders(dropHostHeaders(lines));
    const isBodiless = status === 204 || status === 304;
    const isRelayed = this.hop !== undefined;
    if (isRelayed && !isFramed) raw.push(...UNFRAMED_LINE);
    // A body delimited only by the end of its connection may be truncated, so
    // it is passed on without a length as well.
    if (!isFramed && !isRelayed) {
      this.response.useChunkedEncodingByDefault = false;
    } else if (!isBodiless) raw.push('Content-Length', String(body.length));
    this.response.writeHead(status, raw);
    if (isBodiless) this.answer.end();
    else this.answer.send(body);
  }

  /** Starts the answer of a stream. */
  startStream(status: number, lines: HeaderLines): void {
    this.response.writeHead(status, formatRawHeaders(dropHostHeaders(lines)));
  }

  /** Sends a part of a stream; false when the write buffer is full. */
  writeStream(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Resolves when the write buffer is drained or the request was aborted. */
  async waitForDrain(): Promise<void> {
    const {answer, response} = this;
    answer.markWritten(response.writableLength);
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        response.removeListener('drain', finish);
        this.signal.removeEventListener('abort', finish);
        resolve();
      };
      response.once('drain', finish);
      this.signal.addEventListener('abort', finish);
      if (this.signal.aborted) finish();
    });
    answer.markTaken();
  }

  /** Ends a stream as complete. */
  endStream(): void {
    if (this.takeFinal()) this.answer.end();
  }

  /** Ends a stream so that the caller sees it as incomplete. */
  failStream(): void {
    if (this.takeFinal()) closeIncomplete(this.response);
  }

  /**
   * Answers with an error, with further header lines. The connection is closed
   * only if the rest of the request is still arriving.
   */
  refuse(error: KnownError, extraLines: HeaderLines = []): void {
    if (!this.takeFinal()) return;
    if (this.message.complete) {
      this.sendRefusal(error, extraLines);
      return;
    }
    // Nobody reads what Node would keep of it meanwhile.
    this.message.resume();
    // The rest may have arrived with the head, and is parsed in this turn.
    setImmediate(() => {
      if (!this.response.destroyed) this.sendRefusal(error, extraLines);
    });
  }

  /**
   * Ends a request whose handling failed: with the error, or as cut if an
   * answer has begun. What still runs for the request is aborted.
   */
  fail(error: KnownError): void {
    this.controller.abort();
    if (this.response.headersSent) this.failStream();
    else this.refuse(error);
  }

  /** Asks the caller to open a new connection for its next request. */
  closeAfterAnswer(): void {
    if (!this.response.headersSent) {
      this.response.shouldKeepAlive = false;
    }
  }

  /** Whether nothing may be sent any more. */
  private get isFinal(): boolean {
    return this.hasFinalAnswer || this.response.destroyed;
  }

  private sendRefusal(error: KnownError, extraLines: HeaderLines): void {
    // The rest of an unread body must not be parsed as the next request.
    const isArriving = !this.message.complete;
    const refusal = createRefusalResponse(error, isArriving, extraLines);
    const {headers, body} = refusal;
    this.response.writeHead(error.status, headers);
    if (isArriving) {
      this.lingeringCloses.end(this.message, this.response, body);
      return;
    }
    // A refused request has no time in which its caller may leave it unread.
    this.answer.markTimeOver();
    this.answer.send(body);
    // Unread parts would hold up the next request on the connection.
    this.message.resume();
  }

  private endTime(): void {
    this.hasExpired = true;
    this.controller.abort();
    this.answer.markTimeOver();
  }

  private takeFinal(): boolean {
    if (this.isFinal) return false;
    this.hasFinalAnswer = true;
    return true;
  }
}

/** Puts a host in place of the one that the Host header names. */
function setHost(lines: HeaderLines, host: string): HeaderLines {
  return lines.map(([name, value]) => [
    name,
    name.toLowerCase() === 'host' ? host : value,
  ]);
}

/** A request that passed validation and may be sent to endpoints. */
export interface AdmittedRequest {
  readonly exchange: CallerExchange;
  readonly requestId: string;
  /** The header lines of the caller without those of its connection. */
  readonly lines: HeaderLines;
  readonly metadata: RequestMetadata;
  readonly team: string | undefined;
  readonly body: Buffer;
  /** The hash of its content, the same for each retry of its caller. */
  readonly content: string;
  /** When the caller stops waiting, on the monotonic clock, or Infinity. */
  readonly callerDeadline: number;
}
