/**
 * An HTTP client for short JSON calls over persistent connections. A call that
 * times out closes its connection, as its response may still arrive on it.
 */
import {
  Agent,
  request,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import {
  BufferBudget,
  getErrorText,
  isBodyComplete,
  ResponseWatch,
  splitPlace,
  watchConnectionEnd,
  watchRequestFailure,
} from '@irisdock/kernel';
import {err, type Result} from 'neverthrow';
import {tryParseJson} from '../model/json_value.js';
import {readBody} from './body_reader.js';

/** A JSON request; without a `body` it is sent with an empty one. */
export interface JsonRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** A response; `body` is undefined when it is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers: IncomingHttpHeaders;
}

/** Sends JSON requests to any address. */
export class JsonClient {
  private readonly agent = new Agent({keepAlive: true, noDelay: true});
  private readonly buffers = new BufferBudget();

  /** Sends a request to `ip:port`; an error says why there is no response. */
  async send(
    address: string,
    call: JsonRequest,
  ): Promise<Result<JsonResponse, string>> {
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    return new Promise((resolve) => {
      const clientRequest = request({
        ...splitPlace(address),
        method: call.method,
        path: call.path,
        agent: this.agent,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      });
      const connectionEnd = watchConnectionEnd(clientRequest);
      const finish = (result: Result<JsonResponse, string>): void => {
        clearTimeout(timer);
        resolve(result);
      };
      const watched = watchRequestFailure(clientRequest, (error) => {
        finish(err(getErrorText(error)));
      });
      const close = (detail: string): void => {
        watched.fail(new Error(detail));
        finish(err(detail));
      };
      const timer = setTimeout(() => {
        close(`no answer in ${call.timeoutMs} ms`);
      }, call.timeoutMs);
      const watch = new ResponseWatch(clientRequest, {
        handleExcess: () => {
          close(watch.fault ?? '');
        },
      });
      clientRequest.on('response', (response) => {
        void this.readResponse(response, watch).then((result) => {
          const isComplete = isBodyComplete(
            clientRequest,
            response,
            connectionEnd,
          );
          finish(
            result.isErr() || isComplete ? result : err('its body was cut'),
          );
        });
      });
      clientRequest.end(body);
    });
  }

  private async readResponse(
    response: IncomingMessage,
    watch: ResponseWatch,
  ): Promise<Result<JsonResponse, string>> {
    const {statusCode: status = 0, headers} = response;
    const body = await readBody(response, watch, this.buffers);
    return body.map((bytes) => ({
      status,
      body: tryParseJson(bytes.toString()),
      headers,
    }));
  }

  /** Closes the idle connections. */
  close(): void {
    this.agent.destroy();
  }
}
