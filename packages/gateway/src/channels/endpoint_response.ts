/** The head of an endpoint's response, and the way to its body. */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {
  hasFraming,
  isBodyComplete,
  type BufferBudget,
  type BufferHold,
  type ConnectionEnd,
  type ResponseWatch,
} from '@irisdock/kernel';
import {err, type Result} from 'neverthrow';
import type {
  HeaderCodec,
  HeaderLines,
  ResponseMetadata,
} from '../model/request_metadata.js';
import {dropBody, readBody, type DropResult} from './body_reader.js';
import {
  dropHopByHopHeaders,
  findHeader,
  readHeaderLines,
} from './header_lines.js';

/** The head of a response, whose body is still to be read. */
export interface EndpointResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly metadata: ResponseMetadata;
  /** The header lines for the caller. */
  readonly lines: HeaderLines;
  readonly isEventStream: boolean;
  /** Whether its connection has brought the response to an earlier request. */
  readonly isOnReusedConnection: boolean;
  readonly message: IncomingMessage;
  /** Must be told what is read of the message by other means than below. */
  readonly watch: ResponseWatch;
  /** Whether the body has a length or is chunked. */
  readonly isFramed: boolean;
  /**
   * Whether the body, once it has ended, is complete. An unframed body ends
   * with its connection, and is truncated unless that ended in order.
   */
  isComplete(): boolean;
  /** Reads the whole body; an error says why there is none. */
  readBody(maxBytes?: number): Promise<Result<Buffer, string>>;
  /** Reads a body that is not needed, and closes the connection if it is long. */
  dropBody(): Promise<DropResult>;
  /** Opens a hold on the memory for answers (see `BufferBudget`). */
  openHold(handleExcess: () => void): BufferHold;
  /** Closes the connection. */
  close(): void;
}

/** Creates the response to a request from the head that arrived. */
export function createEndpointResponse(
  codec: HeaderCodec,
  buffers: BufferBudget,
  clientRequest: ClientRequest,
  incoming: IncomingMessage,
  connectionEnd: ConnectionEnd,
  watch: ResponseWatch,
): EndpointResponse {
  const allLines = readHeaderLines(incoming);
  const type = findHeader(allLines, 'content-type') ?? '';
  const endToEndLines = dropHopByHopHeaders(allLines, (name) =>
    codec.isEndToEnd(name),
  );
  const isFramed = hasFraming(incoming);
  // The reader of the body may have stopped listening; the error still
  // counts, as isComplete checks for it.
  incoming.on('error', () => undefined);
  incoming.once('end', () => {
    // The endpoint responded before it had read the whole request: the rest
    // of the request must not be taken for the next one on this connection.
    if (!clientRequest.writableFinished) clientRequest.destroy();
  });
  const isComplete = (): boolean =>
    isBodyComplete(clientRequest, incoming, connectionEnd);
  return {
    kind: 'answer',
    status: incoming.statusCode ?? 0,
    metadata: codec.decodeResponse(allLines),
    lines: codec.encodeResponse(endToEndLines),
    isEventStream: type.startsWith('text/event-stream'),
    isOnReusedConnection: clientRequest.reusedSocket,
    message: incoming,
    watch,
    isFramed,
    isComplete,
    readBody: async (maxBytes) => {
      const body = await readBody(incoming, watch, buffers, maxBytes);
      return body.isErr() || isComplete() ? body : err('its body was cut');
    },
    dropBody: () => dropBody(incoming, watch),
    openHold: (handleExcess) => buffers.open(handleExcess),
    close: () => {
      clientRequest.destroy();
    },
  };
}
