/** What the clients of endpoints share: short JSON calls on a pool. */
import {readBoundedText} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import type * as z from 'zod';
import type {EndpointError} from './engine.js';
import {createCallError, createStatusError} from './http_errors.js';

const CONNECT_MS = 1000;
const OK = 200;
/** The longest answer to a short call, in bytes; lists of cached prompts. */
const MAX_JSON_BYTES = 8_388_608;

/** A short call. */
export interface JsonCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Connections to one endpoint, and JSON calls over them. */
export class HttpClient {
  readonly pool: Pool;

  constructor(readonly address: string) {
    this.pool = new Pool(`http://${address}`, {
      connectTimeout: CONNECT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
  }

  /** Makes a call and checks the answer's shape. */
  async sendJson<S extends z.ZodType>(
    call: JsonCall,
    schema: S,
  ): Promise<Result<z.infer<S>, EndpointError>> {
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const text = await readBoundedText(response.body, MAX_JSON_BYTES);
      if (response.statusCode !== OK) {
        return err(createStatusError(this.address, response.statusCode));
      }
      return ok(schema.parse(JSON.parse(text)));
    } catch (thrown) {
      return err(createCallError(this.address, thrown));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
