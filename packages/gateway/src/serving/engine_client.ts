/**
 * Short calls to engines about what they keep and run: one answer, read whole,
 * within a bound of time.
 */
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {EngineCall} from '../model/request_metadata.js';
import type {SendTarget} from './send_gate.js';
import {readAnswerBody} from './answer_body.js';

/** What an engine answered. */
export interface EngineAnswer {
  readonly status: number;
  readonly body: string;
}

/** Makes short calls to engines. */
export class EngineClient {
  constructor(private readonly client: EndpointClient) {}

  /**
   * Makes a call; undefined when no whole answer came in time.
   *
   * @param timeoutMs The bound on the whole call, in ms.
   */
  async send(
    target: SendTarget,
    call: EngineCall,
    timeoutMs: number,
  ): Promise<EngineAnswer | undefined> {
    const signal = AbortSignal.timeout(timeoutMs);
    const permit = await this.client.admit(target, 'aside');
    if (permit.kind === 'held') return undefined;
    const answer = await this.client.send({
      permit,
      requestId: undefined,
      method: call.method,
      path: call.path,
      lines: createLines(target.address, call),
      body: Buffer.from(call.body),
      signal,
    });
    if (answer.kind === 'lost') return undefined;
    const body = await readAnswerBody(answer);
    if (body === undefined) return undefined;
    return {status: answer.status, body: body.toString()};
  }
}

function createLines(
  address: string,
  call: EngineCall,
): (readonly [string, string])[] {
  const host = ['Host', address] as const;
  if (call.body === '') return [host];
  return [host, ['Content-Type', 'application/json']];
}
