/** An endpoint of a plain service over HTTP. */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import {pipeline, Transform, type Readable} from 'node:stream';
import {
  hasFraming,
  isBodyComplete,
  ResponseWatch,
  splitPlace,
  watchConnectionEnd,
  watchRequestFailure,
} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type {EndpointError, LoadReport} from './engine.js';
import {HttpClient} from './http_client.js';
import {createCallError, createUnsentError} from './http_errors.js';
import {KeptConnections} from './kept_connections.js';
import {LOAD_SCHEMA} from './load_schema.js';
import type {PlainAnswer, PlainCall, PlainEndpoint} from './plain_endpoint.js';

const CONNECT_MS = 1000;

/** A plain service's endpoint at one address. */
export class HttpPlainEndpoint implements PlainEndpoint {
  private readonly client: HttpClient;
  /**
   * For calls; undici ends a body without framing also when its connection is
   * reset.
   */
  private readonly agent = new KeptConnections();

  constructor(readonly address: string) {
    this.client = new HttpClient(address);
  }

  async send(call: PlainCall): Promise<Result<PlainAnswer, EndpointError>> {
    const {address} = this;
    return new Promise((resolve) => {
      const clientRequest = this.createRequest(call);
      const connectionEnd = watchConnectionEnd(clientRequest);
      let isConnected = false;
      watchConnect(clientRequest, () => {
        isConnected = true;
      });
      const watched = watchRequestFailure(clientRequest, (error) => {
        const create = isConnected ? createCallError : createUnsentError;
        resolve(err(create(address, error)));
      });
      const watch = new ResponseWatch(clientRequest, {
        handleExcess: () => {
          watched.fail(new Error(watch.fault));
        },
      });
      clientRequest.once('response', (incoming) => {
        const {statusCode: status = 0, headers} = incoming;
        const body = createBody(incoming, watch, () =>
          isBodyComplete(clientRequest, incoming, connectionEnd),
        );
        resolve(ok({status, headers, body, isFramed: hasFraming(incoming)}));
      });
      clientRequest.end(call.body);
    });
  }

  async getLoad(timeoutMs: number): Promise<Result<LoadReport, EndpointError>> {
    const call = {method: 'GET' as const, path: '/v1/load', timeoutMs};
    return this.client.sendJson(call, LOAD_SCHEMA);
  }

  async close(): Promise<void> {
    this.agent.destroy();
    await this.client.close();
  }

  private createRequest(call: PlainCall): ClientRequest {
    const {method, path, headers, body, timeoutMs} = call;
    const isBodiless = method === 'GET' || method === 'HEAD';
    const length = {'content-length': String(body.length)};
    return request({
      ...splitPlace(this.address),
      method,
      path,
      headers: {
        ...headers,
        ...(isBodiless && body.length === 0 ? {} : length),
      },
      agent: this.agent,
      signal: AbortSignal.timeout(timeoutMs),
    });
  }
}

/** Gives up on a connection that does not open in time. */
function watchConnect(
  clientRequest: ClientRequest,
  handleConnect: () => void,
): void {
  clientRequest.once('socket', (socket) => {
    if (!socket.connecting) {
      handleConnect();
      return;
    }
    const timer = setTimeout(() => {
      clientRequest.destroy(new Error('the connection did not open in time'));
    }, CONNECT_MS);
    socket.once('connect', handleConnect);
    socket.once('connect', () => {
      clearTimeout(timer);
    });
    clientRequest.once('close', () => {
      clearTimeout(timer);
    });
  });
}

/** Gives the body of a response, which fails if it is not complete. */
function createBody(
  incoming: IncomingMessage,
  watch: ResponseWatch,
  isComplete: () => boolean,
): Readable {
  const body = new Transform({
    transform: (chunk: Buffer, _, finish) => {
      watch.recordPart(chunk);
      finish(null, chunk);
    },
    flush: (finish) => {
      finish(isComplete() ? null : new Error('the body was cut'));
    },
  });
  // Its reader may not listen yet when it fails.
  body.on('error', () => undefined);
  return pipeline(incoming, body, () => undefined);
}
