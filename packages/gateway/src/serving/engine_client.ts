/**
 * Makes short management calls to engines, such as copies of KV caches or
 * reports. Each has one answer, read whole within a timeout.
 */
import {RunningTimeout, type RunningClock} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {EngineCall} from '../model/request_metadata.js';
import type {SendTarget} from './send_gate.js';

/**
 * The longest answer to such a call, in bytes. The longest are lists of cached
 * prompts, some hundred bytes for each of some thousand parts.
 */
const MAX_CALL_BYTES = 1_048_576;

/** The answer of an engine. */
export interface EngineAnswer {
  readonly status: number;
  readonly body: string;
}

/** Makes short management calls to engines. */
export class EngineClient {
  constructor(
    private readonly client: EndpointClient,
    private readonly clock: RunningClock,
  ) {}

  /**
   * Makes a call; undefined when no complete answer arrived in time.
   *
   * @param timeoutMs The timeout of the whole call, in ms.
   */
  async send(
    target: SendTarget,
    call: EngineCall,
    timeoutMs: number,
  ): Promise<EngineAnswer | undefined> {
    const timeout = new RunningTimeout(this.clock, timeoutMs);
    try {
      return await this.sendUntilAborted(target, call, timeout.signal);
    } finally {
      timeout.close();
    }
  }

  private async sendUntilAborted(
    target: SendTarget,
    call: EngineCall,
    signal: AbortSignal,
  ): Promise<EngineAnswer | undefined> {
    const permit = await this.client.admit(target, 'aside');
    if (permit.kind === 'held') return undefined;
    const answer = await this.client.send({
      permit,
      requestId: undefined,
      method: call.method,
      path: call.path,
      lines: createHeaderLines(target.address, call),
      body: Buffer.from(call.body),
      signal,
    });
    if (answer.kind === 'lost') return undefined;
    const body = await answer.readBody(MAX_CALL_BYTES);
    if (body.isErr()) return undefined;
    return {status: answer.status, body: body.value.toString()};
  }
}

function createHeaderLines(
  address: string,
  call: EngineCall,
): (readonly [string, string])[] {
  const host = ['Host', address] as const;
  if (call.body === '') return [host];
  return [host, ['Content-Type', 'application/json']];
}
