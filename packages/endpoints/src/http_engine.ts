/** A model engine over HTTP, its streams as server-sent events. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import type {
  CachePage,
  EndpointError,
  Engine,
  EngineOrder,
  EngineStream,
  LoadReport,
  StreamOrder,
} from './engine.js';
import {ENDPOINT_ERRORS} from './errors.js';
import {HttpClient} from './http_client.js';
import {
  createCallError,
  createStatusError,
  createUnsentError,
} from './http_errors.js';
import {LOAD_SCHEMA} from './load_schema.js';
import {listPromptBlocks} from './prompt_blocks.js';
import {SentBody} from './sent_body.js';
import {readStream} from './stream_reader.js';

const CACHE_SCHEMA = z.object({
  events: z.array(
    z.object({sequence: z.number(), block: z.string(), stored: z.boolean()}),
  ),
  next: z.number(),
  gap: z.boolean(),
});
const ANY_SCHEMA = z.unknown();
const OK = 200;
const CANCEL_MS = 1000;

/** How long an order may be on its way, in milliseconds. */
export const ORDER_MS = 3000;

/** An engine at one address. */
export class HttpEngine implements Engine {
  private readonly client: HttpClient;

  constructor(readonly address: string) {
    this.client = new HttpClient(address);
  }

  async openStream(
    order: StreamOrder,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, EndpointError>> {
    const sent = new SentBody(JSON.stringify(order));
    try {
      const response = await this.client.pool.request({
        method: 'POST',
        path: '/v1/streams',
        body: sent.open(),
        headers: sent.headers,
        signal,
      });
      const {body, statusCode} = response;
      if (statusCode !== OK) {
        await body.dump();
        return err(createStatusError(this.address, statusCode));
      }
      const close = (): void => {
        body.on('error', () => undefined).destroy();
      };
      return ok({batches: readStream(body), close});
    } catch (thrown) {
      if (sent.isTaken) return err(createCallError(this.address, thrown));
      return err(createUnsentError(this.address, thrown));
    }
  }

  async cancel(
    request: string,
    below: number,
  ): Promise<Result<void, EndpointError>> {
    const answer = await this.client.sendJson(
      {
        method: 'POST',
        path: '/v1/cancel',
        body: {request, below},
        timeoutMs: CANCEL_MS,
      },
      ANY_SCHEMA,
    );
    return answer.map(() => undefined);
  }

  async getLoad(timeoutMs: number): Promise<Result<LoadReport, EndpointError>> {
    const call = {method: 'GET' as const, path: '/v1/load', timeoutMs};
    return this.client.sendJson(call, LOAD_SCHEMA);
  }

  async getCacheEvents(
    after: number,
    timeoutMs: number,
  ): Promise<Result<CachePage, EndpointError>> {
    const path = `/v1/cache?after=${after}`;
    return this.client.sendJson({method: 'GET', path, timeoutMs}, CACHE_SCHEMA);
  }

  async sendOrder(order: EngineOrder): Promise<Result<void, EndpointError>> {
    const call = {
      method: 'POST' as const,
      path: '/v1/orders',
      body: order,
      timeoutMs: ORDER_MS,
    };
    const answer = await this.client.sendJson(call, ANY_SCHEMA);
    if (answer.isOk()) return ok();
    if (answer.error.kind !== 'endpoint_superseded') return err(answer.error);
    const {address} = this;
    return err(ENDPOINT_ERRORS.create('endpoint_stale_fence', {address}));
  }

  listBlocks(prompt: string): string[] {
    return listPromptBlocks(prompt);
  }

  async close(): Promise<void> {
    await this.client.close();
  }
}
