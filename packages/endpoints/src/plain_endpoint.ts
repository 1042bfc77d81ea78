/** An endpoint of a plain service, as the system uses it. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {Result} from 'neverthrow';
import type {EndpointError, LoadReport} from './engine.js';

/** A call to pass on. */
export interface PlainCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly timeoutMs: number;
}

/** What the service answered. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Fails if it is cut. */
  readonly body: Readable;
  /** Whether the body has a length or is chunked. */
  readonly isFramed: boolean;
}

/** An endpoint of a plain service. */
export interface PlainEndpoint {
  send(call: PlainCall): Promise<Result<PlainAnswer, EndpointError>>;
  getLoad(timeoutMs: number): Promise<Result<LoadReport, EndpointError>>;
  close(): Promise<void>;
}
