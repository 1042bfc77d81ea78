/** The head of an endpoint's response, and the way to its body. */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {
  HeaderCodec,
  HeaderLines,
  ResponseMetadata,
} from '../model/request_metadata.js';
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
  readonly message: IncomingMessage;
  /** Whether the body has a length or is chunked. */
  readonly isFramed: boolean;
  /**
   * Whether the body, once it has ended, is complete. An unframed body ends
   * with its connection, and is truncated if the connection failed.
   */
  isComplete(): boolean;
  /** Closes the connection. */
  close(): void;
}

/** Creates the response to a request from the head that arrived. */
export function createEndpointResponse(
  codec: HeaderCodec,
  clientRequest: ClientRequest,
  incoming: IncomingMessage,
): EndpointResponse {
  const allLines = readHeaderLines(incoming);
  const type = findHeader(allLines, 'content-type') ?? '';
  const isFramed = hasFraming(incoming);
  let hasFailed = false;
  clientRequest.on('error', () => {
    hasFailed = true;
  });
  // The reader of the body may have stopped listening; the error still
  // counts, as isComplete checks for it.
  incoming.on('error', () => undefined);
  incoming.once('end', () => {
    // The endpoint responded before it had read the whole request: the rest
    // of the request must not be taken for the next one on this connection.
    if (!clientRequest.writableFinished) clientRequest.destroy();
  });
  return {
    kind: 'answer',
    status: incoming.statusCode ?? 0,
    metadata: codec.decodeResponse(allLines),
    lines: dropHopByHopHeaders(codec.encodeResponse(allLines)),
    isEventStream: type.startsWith('text/event-stream'),
    message: incoming,
    isFramed,
    isComplete: () => incoming.complete && (isFramed || !hasFailed),
    close: () => {
      clientRequest.destroy();
    },
  };
}

function hasFraming(incoming: IncomingMessage): boolean {
  const {headers} = incoming;
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
