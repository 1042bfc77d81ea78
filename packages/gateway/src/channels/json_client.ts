/**
 * Short calls that carry JSON, over kept connections. A call that gets no
 * answer in time gives its connection up, as an answer may still come on it.
 */
import {Agent, request, type IncomingHttpHeaders} from 'node:http';
import {getErrorText, splitPlace} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';

/** A call. */
export interface JsonRequest {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** An answer; `body` is empty when it is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers: IncomingHttpHeaders;
}

/** Makes calls to any address. */
export class JsonClient {
  private readonly agent = new Agent({keepAlive: true, noDelay: true});

  /** Makes a call; an error says why there is no answer. */
  async send(
    address: string,
    call: JsonRequest,
  ): Promise<Result<JsonResponse, string>> {
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    return new Promise((resolve) => {
      const message = request({
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
        message.destroy(new Error(`no answer in ${call.timeoutMs} ms`));
      }, call.timeoutMs);
      const finish = (result: Result<JsonResponse, string>): void => {
        clearTimeout(timer);
        resolve(result);
      };
      message.on('error', (error) => {
        finish(err(getErrorText(error)));
      });
      message.on('response', (response) => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', (error) => {
          finish(err(getErrorText(error)));
        });
        response.on('end', () => {
          const text = Buffer.concat(parts).toString();
          const {statusCode: status = 0, headers} = response;
          finish(ok({status, body: parseBody(text), headers}));
        });
      });
      message.end(body);
    });
  }

  /** Closes the kept connections. */
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
