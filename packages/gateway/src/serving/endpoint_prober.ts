/**
 * Asks an endpoint for its report to learn whether it answers at all. Several
 * streams that wait for the same endpoint share one question.
 */
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {EndpointRecord} from './endpoint_record.js';

/** Asks endpoints. */
export class EndpointProber {
  private readonly asked = new Map<string, Promise<boolean>>();

  constructor(
    private readonly client: EndpointClient,
    private readonly reportPath: string,
  ) {}

  /** Tells whether the endpoint answers in time. */
  async probe(endpoint: EndpointRecord, timeoutMs: number): Promise<boolean> {
    const {instanceId} = endpoint;
    const asked = this.asked.get(instanceId);
    if (asked !== undefined) return asked;
    const question = this.probeOnce(endpoint, timeoutMs).finally(() => {
      this.asked.delete(instanceId);
    });
    this.asked.set(instanceId, question);
    return question;
  }

  private async probeOnce(
    endpoint: EndpointRecord,
    timeoutMs: number,
  ): Promise<boolean> {
    const signal = AbortSignal.timeout(timeoutMs);
    const permit = await this.client.admit(endpoint, 'aside');
    // What could not be asked is not lost by that. Before requests, questions for
    // streams that wait would take five of six permits of an engine in need.
    if (permit.kind === 'held' || signal.aborted) return true;
    const answer = await this.client.send({
      permit,
      requestId: undefined,
      method: 'GET',
      path: this.reportPath,
      lines: [['Host', endpoint.address]],
      body: Buffer.alloc(0),
      signal,
    });
    if (answer.kind === 'lost') return false;
    answer.message.on('error', () => undefined);
    answer.message.resume();
    return true;
  }
}
