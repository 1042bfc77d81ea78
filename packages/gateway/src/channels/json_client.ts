/**
 * An HTTP client for short JSON calls over persistent connections. A call that
 * times out closes its connection, as its response may still arrive on it.
 */
import {Agent, request, type IncomingHttpHeaders} from 'node:http';
import {getErrorText, splitPlace} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';

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
      const timer = setTimeout(() => {
        clientRequest.destroy(new Error(`no answer in ${call.timeoutMs} ms`));
      }, call.timeoutMs);
      const finish = (result: Result<JsonResponse, string>): void => {
        clearTimeout(timer);
        resolve(result);
      };
      clientRequest.on('error', (error) => {
        finish(err(getErrorText(error)));
      });
      clientRequest.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (error) => {
          finish(err(getErrorText(error)));
        });
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          const {statusCode: status = 0, headers} = response;
          finish(ok({status, body: parseBody(text), headers}));
        });
      });
      clientRequest.end(body);
    });
  }

  /** Closes the idle connections. */
  close(): void {
    this.agent.destroy();
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
