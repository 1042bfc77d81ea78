/**
 * Probes whether an endpoint answers at all, by requests for its report.
 * Streams that wait for the same endpoint share one probe. One lost request
 * says little: a probe sends another when the connection of the first is reset,
 * and when half of the time has gone by without an answer.
 */
import {
  RunningTimeout,
  RunningTimer,
  type RunningClock,
} from '@irisdock/kernel';
import type {EndpointClient} from '../channels/endpoint_client.js';
import type {EndpointRecord} from './endpoint_record.js';

/** The result of a probe. */
export type ProbeAnswer =
  | 'answers'
  /** The address refuses connections: the endpoint has exited. */
  | 'refused'
  /** There was no answer in time, which proves nothing. */
  | 'silent';

/** When a probe that is not answered is repeated, as a part of its timeout. */
const REPEAT_FRACTION = 0.5;
/** Requests that are sent one after the other as connections are reset. */
const MAX_RESETS = 3;

/** Probes endpoints. */
export class EndpointProber {
  private readonly pending = new Map<string, Promise<ProbeAnswer>>();

  constructor(
    private readonly client: EndpointClient,
    private readonly reportPath: string,
    private readonly runningClock: RunningClock,
  ) {}

  /** Probes an endpoint. */
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
    const answered = new AbortController();
    const signal = AbortSignal.any([timeout.signal, answered.signal]);
    try {
      return await this.sendTwice(endpoint, timeoutMs, signal);
    } finally {
      timeout.close();
      answered.abort();
    }
  }

  /** Sends a request, and another one if it is not answered for long. */
  private async sendTwice(
    endpoint: EndpointRecord,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    return new Promise((resolve, reject) => {
      let open = 0;
      const start = (): void => {
        open++;
        this.sendUntilAnswered(endpoint, signal)
          .then((answer) => {
            open--;
            if (answer === 'silent' && open > 0) return;
            repeat.close();
            resolve(answer);
          })
          .catch(reject);
      };
      const repeatMs = REPEAT_FRACTION * timeoutMs;
      const repeat = new RunningTimer(this.runningClock, repeatMs, start);
      start();
    });
  }

  /** Sends a request, and others as long as their connections are reset. */
  private async sendUntilAnswered(
    endpoint: EndpointRecord,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    for (let resets = 0; resets < MAX_RESETS; resets++) {
      const answer = await this.send(endpoint, signal);
      if (answer !== 'reset') return answer;
      if (signal.aborted) break;
    }
    return 'silent';
  }

  private async send(
    endpoint: EndpointRecord,
    signal: AbortSignal,
  ): Promise<ProbeAnswer | 'reset'> {
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
    if (answer.kind === 'answer') {
      void answer.dropBody();
      return 'answers';
    }
    if (answer.isRefused) return 'refused';
    // A connection that does not open has taken its time already.
    return answer.mayHaveRun ? 'reset' : 'silent';
  }
}
