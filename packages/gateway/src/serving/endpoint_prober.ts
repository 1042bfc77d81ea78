/**
 * Probes whether an endpoint answers at all, by a request for its report.
 * Streams that wait for the same endpoint share one probe.
 */
import {RunningTimeout, type RunningClock} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {EndpointRecord} from './endpoint_record.js';

/** The result of a probe. */
export type ProbeAnswer =
  | 'answers'
  /** The address refuses connections: the endpoint has exited. */
  | 'refused'
  /** There was no answer in time, which proves nothing. */
  | 'silent';

/** Probes endpoints. */
export class EndpointProber {
  private readonly pending = new Map<string, Promise<ProbeAnswer>>();

  constructor(
    private readonly client: EndpointClient,
    private readonly reportPath: string,
    private readonly runningClock: RunningClock,
  ) {}

  /** Probes an endpoint once. */
  async probe(
    endpoint: EndpointRecord,
    timeoutMs: number,
  ): Promise<ProbeAnswer> {
    const {instanceId} = endpoint;
    const pending = this.pending.get(instanceId);
    if (pending !== undefined) return pending;
    const probe = this.probeOnce(endpoint, timeoutMs).finally(() => {
      this.pending.delete(instanceId);
    });
    this.pending.set(instanceId, probe);
    return probe;
  }

  private async probeOnce(
    endpoint: EndpointRecord,
    timeoutMs: number,
  ): Promise<ProbeAnswer> {
    const timeout = new RunningTimeout(this.runningClock, timeoutMs);
    try {
      return await this.send(endpoint, timeout.signal);
    } finally {
      timeout.close();
    }
  }

  private async send(
    endpoint: EndpointRecord,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    const permit = await this.client.admit(endpoint, 'aside');
    // An endpoint that could not be probed does not count as lost. Probes don't
    // go before requests: for the waiting streams of an engine at its limit
    // they would take five of six permits.
    if (permit.kind === 'held' || signal.aborted) return 'answers';
    const answer = await this.client.send({
      permit,
      requestId: undefined,
      method: 'GET',
      path: this.reportPath,
      lines: [['Host', endpoint.address]],
      body: Buffer.alloc(0),
      signal,
    });
    if (answer.kind === 'lost') return answer.isRefused ? 'refused' : 'silent';
    void answer.dropBody();
    return 'answers';
  }
}
