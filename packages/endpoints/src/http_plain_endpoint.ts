/** An endpoint of a plain service over HTTP. */
import {err, ok, type Result} from 'neverthrow';
import type {EndpointError, LoadReport} from './engine.js';
import {HttpClient} from './http_client.js';
import {createCallError} from './http_errors.js';
import {LOAD_SCHEMA} from './load_schema.js';
import type {PlainAnswer, PlainCall, PlainEndpoint} from './plain_endpoint.js';

/** A plain service's endpoint at one address. */
export class HttpPlainEndpoint implements PlainEndpoint {
  private readonly client: HttpClient;

  constructor(readonly address: string) {
    this.client = new HttpClient(address);
  }

  async send(call: PlainCall): Promise<Result<PlainAnswer, EndpointError>> {
    try {
      const response = await this.client.pool.request({
        method: call.method,
        path: call.path,
        body: call.body.length === 0 ? null : call.body,
        headers: call.headers,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const {statusCode: status, headers, body} = response;
      return ok({status, headers, body});
    } catch (thrown) {
      return err(createCallError(this.address, thrown));
    }
  }

  async getLoad(timeoutMs: number): Promise<Result<LoadReport, EndpointError>> {
    const call = {method: 'GET' as const, path: '/v1/load', timeoutMs};
    return this.client.sendJson(call, LOAD_SCHEMA);
  }

  async close(): Promise<void> {
    await this.client.close();
  }
}
