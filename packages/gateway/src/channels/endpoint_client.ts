/**
 * Sends requests to endpoints. A failure states whether the request may have
 * reached the endpoint: a request that must not run twice may be sent again
 * only if it has not.
 */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {SendPriority} from '@irisdock/decisions';
import {
  BufferBudget,
  getErrorText,
  isRefused,
  ResponseWatch,
  splitPlace,
  watchConnectionEnd,
  watchRequestFailure,
  type Clock,
  type ConnectionEnd,
  type ResponseExcess,
} from '@irisdock/kernel';
import type {HeaderCodec, HeaderLines} from '../model/request_metadata.js';
import type {
  SendAdmission,
  SendGate,
  SendPermit,
  SendTarget,
} from '../serving/send_gate.js';
import {watchConnection} from './connection_watch.js';
import {
  isFinalStatus,
  MIN_SERVER_ERROR_STATUS,
  MISDIRECTED_STATUS,
} from './response_check.js';
import {EndpointAgent} from './endpoint_agent.js';
import {TcpEndpointNetwork, type EndpointNetwork} from './endpoint_network.js';
import {
  createEndpointResponse,
  type EndpointResponse,
} from './endpoint_response.js';
import {formatRawHeaders} from './header_lines.js';
import {PacedAddresses} from './paced_addresses.js';

export type {EndpointResponse} from './endpoint_response.js';

/** A request to an endpoint. */
export interface EndpointRequest {
  /** Issued by the gate for this request only. */
  readonly permit: SendPermit;
  /** The id of the caller's request; undefined for this host's own calls. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** The path with the query, as the caller sent it. */
  readonly path: string;
  /** The header lines without those of a connection. */
  readonly lines: HeaderLines;
  readonly body: Buffer;
  /** Aborts the request and closes its connection. */
  readonly signal: AbortSignal;
}

/** The failure of a request that got no response. */
export interface EndpointFailure {
  readonly kind: 'lost';
  /** Whether the request may have reached the endpoint. */
  readonly mayHaveRun: boolean;
  readonly detail: string;
  /** Whether the connection was refused, as nothing listens at the address. */
  readonly isRefused: boolean;
}

/** The statuses with which an endpoint may request a pause. */
const PAUSE_STATUSES: ReadonlySet<number> = new Set([429, 503]);
/** An aborted request without a response for this long is a failure, in ms. */
const MIN_SILENCE_MS = 150;

/** The error of a request that this host aborted. */
const ABORTED = new Error('the send was ended');

/** Learns whether connections to endpoints work. */
export interface ConnectionObserver {
  /** Records that a new connection to an endpoint opened. */
  recordConnected(target: SendTarget): void;
  /** Records that a request to an endpoint got no response. */
  recordFailure(target: SendTarget): void;
}

/** What responses may cost a host. */
export interface AnswerBounds {
  /** The memory for responses that are being read. */
  readonly buffers: BufferBudget;
  /** Records that a response exceeded a bound. */
  recordExcess(target: SendTarget, excess: ResponseExcess): void;
}

const NO_OBSERVER: ConnectionObserver = {
  recordConnected: () => undefined,
  recordFailure: () => undefined,
};

/** A request whose response is awaited. */
interface SentRequest {
  readonly clientRequest: ClientRequest;
  readonly connectionEnd: ConnectionEnd;
  readonly watch: ResponseWatch;
  /** When it was sent, on the monotonic clock. */
  readonly sentAt: number;
}

/** Sends requests to endpoints over persistent connections. */
export class EndpointClient {
  private readonly agent: EndpointAgent;
  private readonly paced: PacedAddresses;

  constructor(
    private readonly codec: HeaderCodec,
    private readonly gate: SendGate,
    private readonly clock: Clock,
    network: EndpointNetwork = new TcpEndpointNetwork(),
    private readonly observer: ConnectionObserver = NO_OBSERVER,
    private readonly bounds: AnswerBounds = {
      buffers: new BufferBudget(),
      recordExcess: () => undefined,
    },
  ) {
    this.agent = new EndpointAgent(network);
    this.paced = new PacedAddresses(clock);
  }

  /** Requests a permit, without which nothing can be sent. */
  admit(
    target: SendTarget,
    use: SendPriority,
  ): Promise<SendAdmission> | SendAdmission {
    return this.gate.admit(target, use);
  }

  /** Sends a request; resolves with the head of its response. */
  async send(
    outgoing: EndpointRequest,
  ): Promise<EndpointResponse | EndpointFailure> {
    const {target} = outgoing.permit;
    return new Promise((resolve) => {
      let mayHaveRun = false;
      const clientRequest = this.createRequest(outgoing);
      const connectionEnd = watchConnectionEnd(clientRequest);
      const sentAt = this.clock.getNow();
      const watched = watchRequestFailure(clientRequest, (error) => {
        const detail = getErrorText(error);
        const silentMs = this.clock.getNow() - sentAt;
        const isFailure = error !== ABORTED || silentMs >= MIN_SILENCE_MS;
        if (isFailure) this.observer.recordFailure(target);
        resolve({
          kind: 'lost',
          mayHaveRun,
          detail,
          isRefused: isRefused(error),
        });
      });
      const abort = (): void => {
        watched.fail(ABORTED);
      };
      const listener = {
        handleOpen: (isNew: boolean) => {
          mayHaveRun = true;
          if (isNew) this.observer.recordConnected(target);
        },
        handleTimeout: () => {
          watched.fail(new Error('the connection did not open'));
        },
      };
      const maxOpenMs = outgoing.permit.sendBy - sentAt;
      watchConnection(clientRequest, this.clock, listener, maxOpenMs);
      const watch = this.watchResponse(clientRequest, target, (error) => {
        watched.fail(error);
      });
      clientRequest.once('close', () => {
        outgoing.signal.removeEventListener('abort', abort);
      });
      clientRequest.once('response', (incoming) => {
        const sent = {clientRequest, connectionEnd, watch, sentAt};
        resolve(this.acceptResponse(outgoing, sent, incoming));
      });
      if (outgoing.signal.aborted) abort();
      else outgoing.signal.addEventListener('abort', abort);
      clientRequest.end(outgoing.body);
    });
  }

  /** Closes the idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private createRequest(outgoing: EndpointRequest): ClientRequest {
    const lines = addFraming(outgoing.lines, outgoing);
    return request({
      ...splitPlace(outgoing.permit.target.address),
      method: outgoing.method,
      path: outgoing.path,
      agent: this.agent,
      setHost: false,
      headers: formatRawHeaders(lines),
    });
  }

  private watchResponse(
    clientRequest: ClientRequest,
    target: SendTarget,
    fail: (error: Error) => void,
  ): ResponseWatch {
    const {bounds, paced} = this;
    const watch = new ResponseWatch(clientRequest, {
      handleExcess: (excess) => {
        bounds.recordExcess(target, excess);
        fail(new Error(watch.fault));
      },
      recordPaced: () => {
        bounds.recordExcess(target, 'paced');
        paced.record(target.address);
      },
    });
    if (paced.has(target.address)) watch.pause();
    return watch;
  }

  private acceptResponse(
    outgoing: EndpointRequest,
    {clientRequest, connectionEnd, watch, sentAt}: SentRequest,
    incoming: IncomingMessage,
  ): EndpointFailure | EndpointResponse {
    const fault = refuseStatus(clientRequest, incoming);
    if (fault !== undefined) return fault;
    const response = createEndpointResponse(
      this.codec,
      this.bounds.buffers,
      clientRequest,
      incoming,
      connectionEnd,
      watch,
    );
    this.reportResponse(outgoing, response, sentAt);
    return response;
  }

  /**
   * Reports a response to the gate before it is decided whether it can be used:
   * its limits and pauses apply also when the caller has left.
   */
  private reportResponse(
    {permit: {target}, requestId}: EndpointRequest,
    {metadata, status}: EndpointResponse,
    sentAt: number,
  ): void {
    const {endpointId = target.endpointId, limit, isLeaving} = metadata;
    // The response comes from another instance than the target.
    if (endpointId !== target.endpointId) return;
    if (status === MISDIRECTED_STATUS) return;
    const isOurs = requestId !== undefined && metadata.requestId === requestId;
    const isHealthy = metadata.isSigned && status < MIN_SERVER_ERROR_STATUS;
    const isTelling = isOurs && (isHealthy || metadata.isNotRun);
    const pause = PAUSE_STATUSES.has(status) ? metadata.pause : undefined;
    this.gate.recordAnswer({
      target,
      limit,
      isTelling,
      sentAt,
      isLeaving,
      pause,
    });
  }
}

/** Closes the connection of a response whose status is no answer's. */
function refuseStatus(
  clientRequest: ClientRequest,
  incoming: IncomingMessage,
): EndpointFailure | undefined {
  const {statusCode: status = 0} = incoming;
  if (isFinalStatus(status)) return undefined;
  incoming.on('error', () => undefined);
  clientRequest.destroy();
  const detail = `${status} is no status of an answer`;
  return {kind: 'lost', mayHaveRun: true, detail, isRefused: false};
}

/** Adds the headers for the body's length and for a persistent connection. */
function addFraming(
  lines: HeaderLines,
  outgoing: EndpointRequest,
): HeaderLines {
  const framed = [...lines, ['Connection', 'keep-alive'] as const];
  const isBodiless = outgoing.method === 'GET' || outgoing.method === 'HEAD';
  if (isBodiless && outgoing.body.length === 0) return framed;
  return [...framed, ['Content-Length', String(outgoing.body.length)] as const];
}
