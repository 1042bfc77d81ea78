/**
 * Sends requests to endpoints. What comes back says whether the request may
 * have reached the endpoint, as only one that has not may be sent again when
 * it must not run twice.
 */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {SendPriority} from '@irisdock/decisions';
import {
  getErrorText,
  isRefused,
  splitPlace,
  type Clock,
} from '@irisdock/kernel';
import type {
  ResponseMetadata,
  HeaderCodec,
  HeaderLines,
} from '../model/request_metadata.js';
import type {
  SendAdmission,
  SendGate,
  SendPermit,
  SendTarget,
} from '../serving/send_gate.js';
import {MIN_SERVER_ERROR_STATUS} from './response_check.js';
import {EndpointAgent} from './endpoint_agent.js';
import {
  dropHopByHopHeaders,
  findHeader,
  formatRawHeaders,
  readHeaderLines,
} from './header_lines.js';

/** A request on its way to an endpoint. */
export interface EndpointRequest {
  /** Given by the gate for this send alone. */
  readonly permit: SendPermit;
  /** The caller's request that is sent; undefined for calls of our own. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly path: string;
  readonly lines: HeaderLines;
  readonly body: Buffer;
  /** Ends the send; its connection is closed. */
  readonly signal: AbortSignal;
}

/** The head of an answer; its body is still to be read. */
export interface EndpointResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly metadata: ResponseMetadata;
  /** Lines for the caller. */
  readonly lines: HeaderLines;
  readonly isEventStream: boolean;
  readonly message: IncomingMessage;
  /** Whether its body has a length or chunks, and not just an end. */
  readonly isFramed: boolean;
  /**
   * Tells, once the body has ended, whether it is whole. A body without a
   * length ends with its connection; one whose connection failed is cut.
   */
  isComplete(): boolean;
  /** Closes the connection. */
  close(): void;
}

/** A send without an answer that can be used. */
export interface EndpointFailure {
  readonly kind: 'lost';
  /** Whether the endpoint may have got the request. */
  readonly mayHaveRun: boolean;
  readonly detail: string;
  /** Whether nothing listens at the address. */
  readonly isRefused: boolean;
}

/** The status by which another endpoint at the address refuses a send. */
export const MISDIRECTED_STATUS = 421;
/** With these an endpoint that rejects a request may ask for a pause. */
const PAUSE_STATUSES: ReadonlySet<number> = new Set([429, 503]);
/** How long a connection may take to open, in ms; a live one takes a few. */
const CONNECT_MS = 300;

/** Sends requests to endpoints over kept connections. */
export class EndpointClient {
  private readonly agent = new EndpointAgent();

  constructor(
    private readonly codec: HeaderCodec,
    private readonly gate: SendGate,
    private readonly clock: Clock,
  ) {}

  /** Asks for a permit to send; without one, nothing can be sent. */
  admit(
    target: SendTarget,
    use: SendPriority,
  ): Promise<SendAdmission> | SendAdmission {
    return this.gate.admit(target, use);
  }

  /** Sends a request; resolves at the head of its answer. */
  async send(
    send: EndpointRequest,
  ): Promise<EndpointResponse | EndpointFailure> {
    return new Promise((resolve) => {
      let mayHaveRun = false;
      let endReason: string | undefined;
      const message = this.createRequest(send);
      const sentAt = this.clock.getNow();
      const connectTimer = setTimeout(() => {
        endReason = 'the connection did not open';
        message.destroy();
      }, CONNECT_MS);
      const abort = (): void => {
        // Without an error, as a connection that was just given back to the
        // pool would throw it where nobody listens.
        endReason = 'the send was ended';
        message.destroy();
      };
      message.once('socket', (socket) => {
        const markSent = (): void => {
          clearTimeout(connectTimer);
          mayHaveRun = true;
        };
        if (socket.connecting) socket.once('connect', markSent);
        else markSent();
      });
      message.once('close', () => {
        clearTimeout(connectTimer);
        send.signal.removeEventListener('abort', abort);
      });
      message.on('error', (error) => {
        const detail = endReason ?? getErrorText(error);
        resolve({
          kind: 'lost',
          mayHaveRun,
          detail,
          isRefused: isRefused(error),
        });
      });
      message.once('response', (answer) => {
        const created = this.createAnswer(message, answer);
        this.recordAnswer(send, created, sentAt);
        resolve(created);
      });
      if (send.signal.aborted) abort();
      else send.signal.addEventListener('abort', abort);
      message.end(send.body);
    });
  }

  /** Closes the kept connections. */
  close(): void {
    this.agent.destroy();
  }

  private createRequest(send: EndpointRequest): ClientRequest {
    const lines = addFraming(dropHopByHopHeaders(send.lines), send);
    return request({
      ...splitPlace(send.permit.target.address),
      method: send.method,
      path: send.path,
      agent: this.agent,
      setHost: false,
      headers: formatRawHeaders(lines),
    });
  }

  /**
   * Tells the gate of an answer before anybody decides on its use: the endpoint
   * has said it, whether or not a caller is still there.
   */
  private recordAnswer(
    {permit: {target}, requestId}: EndpointRequest,
    {metadata: terms, status}: EndpointResponse,
    sentAt: number,
  ): void {
    const {endpointId = target.endpointId, limit, isLeaving} = terms;
    // The start that is meant did not answer.
    if (endpointId !== target.endpointId) return;
    if (status === MISDIRECTED_STATUS) return;
    const isOurs = requestId !== undefined && terms.requestId === requestId;
    const isWell = terms.isSigned && status < MIN_SERVER_ERROR_STATUS;
    const isTelling = isOurs && (isWell || terms.isNotRun);
    const pause = PAUSE_STATUSES.has(status) ? terms.pause : undefined;
    this.gate.recordAnswer({
      target,
      limit,
      isTelling,
      sentAt,
      isLeaving,
      pause,
    });
  }

  private createAnswer(
    message: ClientRequest,
    answer: IncomingMessage,
  ): EndpointResponse {
    const allLines = readHeaderLines(answer);
    const type = findHeader(allLines, 'content-type') ?? '';
    const isFramed = hasFraming(answer);
    let hasFailed = false;
    message.on('error', () => {
      hasFailed = true;
    });
    // Whoever reads the body may have stopped; the error is not lost, as it
    // is seen by isWhole.
    answer.on('error', () => undefined);
    answer.once('end', () => {
      // The endpoint answered before it had read the whole request: what is
      // left of the request must not be taken for the next one.
      if (!message.writableFinished) message.destroy();
    });
    return {
      kind: 'answer',
      status: answer.statusCode ?? 0,
      metadata: this.codec.decodeResponse(allLines),
      lines: dropHopByHopHeaders(this.codec.encodeResponse(allLines)),
      isEventStream: type.startsWith('text/event-stream'),
      message: answer,
      isFramed,
      isComplete: () => answer.complete && (isFramed || !hasFailed),
      close: () => {
        message.destroy();
      },
    };
  }
}

function hasFraming(answer: IncomingMessage): boolean {
  const {headers} = answer;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Adds the length of the body and asks to keep the connection. */
function addFraming(lines: HeaderLines, send: EndpointRequest): HeaderLines {
  const framed = [...lines, ['Connection', 'keep-alive'] as const];
  const isBodiless = send.method === 'GET' || send.method === 'HEAD';
  if (isBodiless && send.body.length === 0) return framed;
  return [...framed, ['Content-Length', String(send.body.length)] as const];
}
