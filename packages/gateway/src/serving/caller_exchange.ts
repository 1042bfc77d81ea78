/**
 * One request of a caller and its answer: the head as typed terms, the body,
 * the moment at which the caller left, and the one final answer.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {KnownError} from '@irisdock/kernel';
import {formatRawHeaders, readHeaderLines} from '../channels/header_lines.js';
import type {HeaderLines, RequestMetadata} from '../model/request_metadata.js';

/** The header that says what is known of a request that was not answered. */
const OUTCOME_HEADER = 'X-Irisdock-Outcome';

/** A whole answer of an endpoint. */
export interface PlainAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  /** Whether its body had a length or chunks, and not just an end. */
  readonly isFramed: boolean;
}

/** Why a body could not be read. */
export type BodyFault = 'cut' | 'too-large';

/** One exchange with a caller. */
export class CallerExchange {
  readonly lines: HeaderLines;
  /** Aborted when the caller leaves or the time of the request is over. */
  readonly signal: AbortSignal;
  private readonly controller = new AbortController();
  private expired = false;
  private timer: NodeJS.Timeout | undefined;
  private isFinal = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    /** When the head arrived, on the monotonic clock. */
    readonly startedAt: number,
  ) {
    this.lines = readHeaderLines(message);
    this.signal = this.controller.signal;
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

  /** Path with query, as it was sent. */
  get path(): string {
    return this.message.url ?? '/';
  }

  /** The host that the caller named. */
  get hostHeader(): string {
    return this.message.headers.host ?? '';
  }

  /** Whether the caller left before its answer was whole. */
  hasDisconnected(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /** Whether the time of the request is over. */
  get isExpired(): boolean {
    return this.expired;
  }

  /** Whether any byte of an answer was sent. */
  get isAnswered(): boolean {
    return this.response.headersSent;
  }

  /** Ends the request when its time is over. */
  setTimeLimit(ms: number): void {
    this.timer = setTimeout(
      () => {
        this.expired = true;
        this.controller.abort();
      },
      Math.max(0, ms),
    );
  }

  /** Reads the whole body. */
  async readBody(maxBytes: number): Promise<Buffer | BodyFault> {
    const {message} = this;
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
      return 'too-large';
    }
    const parts: Buffer[] = [];
    let size = 0;
    return new Promise((resolve) => {
      message.on('data', (part: Buffer) => {
        size += part.length;
        if (size <= maxBytes) parts.push(part);
        else resolve('too-large');
      });
      message.once('end', () => {
        resolve(Buffer.concat(parts));
      });
      message.once('close', () => {
        resolve('cut');
      });
    });
  }

  /** Sends a whole answer of an endpoint. */
  sendAnswer(answer: PlainAnswer): void {
    if (!this.takeFinal()) return;
    const {status, lines, body, isFramed} = answer;
    const raw = formatRawHeaders(lines);
    const isBodiless = status === 204 || status === 304;
    // A body that only ended with its connection may have been cut, so it is
    // passed on without a length too.
    if (!isFramed) this.response.useChunkedEncodingByDefault = false;
    else if (!isBodiless) raw.push('Content-Length', String(body.length));
    this.response.writeHead(status, raw);
    this.response.end(isBodiless ? undefined : body);
  }

  /** Starts the answer of a stream. */
  startStream(status: number, lines: HeaderLines): void {
    this.response.writeHead(status, formatRawHeaders(lines));
  }

  /** Sends a part of a stream; false when the caller does not keep up. */
  writeStream(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Resolves when the caller takes more, or the request has ended. */
  async waitForDrain(): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        this.response.removeListener('drain', finish);
        this.signal.removeEventListener('abort', finish);
        resolve();
      };
      this.response.once('drain', finish);
      this.signal.addEventListener('abort', finish);
      if (this.signal.aborted) finish();
    });
  }

  /** Ends a stream as whole. */
  endStream(): void {
    if (this.takeFinal()) this.response.end();
  }

  /** Ends a stream so that it does not look whole. */
  failStream(): void {
    if (this.takeFinal()) this.response.destroy();
  }

  /** Answers with an error. */
  refuse(error: KnownError, closes: boolean): void {
    if (!this.takeFinal()) return;
    const {kind, message, remedy, outcome, retryAfterSeconds} = error;
    const body = Buffer.from(
      JSON.stringify({error: {kind, message, remedy, outcome}}),
    );
    const headers: Record<string, string> = {
      'Content-Type': 'application/json',
      'Content-Length': String(body.length),
      [OUTCOME_HEADER]: outcome,
    };
    if (retryAfterSeconds !== undefined) {
      headers['Retry-After'] = String(retryAfterSeconds);
    }
    // What is left of an unread body must not be taken for a request.
    if (closes || !this.message.complete) headers['Connection'] = 'close';
    this.response.writeHead(error.status, headers);
    this.response.end(body);
    if (!this.message.complete) this.message.resume();
  }

  /** Asks the caller to open a new connection for its next request. */
  closeAfterAnswer(): void {
    if (!this.response.headersSent) {
      this.response.shouldKeepAlive = false;
    }
  }

  private takeFinal(): boolean {
    if (this.isFinal || this.response.destroyed) return false;
    this.isFinal = true;
    return true;
  }
}

/** A request that passed the checks and is to be sent on. */
export interface AdmittedRequest {
  readonly exchange: CallerExchange;
  readonly requestId: string;
  readonly terms: RequestMetadata;
  readonly team: string | undefined;
  readonly body: Buffer;
  /** The name of its content, the same for each try of its caller. */
  readonly content: string;
  /** When the caller stops waiting, on the monotonic clock; may be Infinity. */
  readonly callerDeadline: number;
}
