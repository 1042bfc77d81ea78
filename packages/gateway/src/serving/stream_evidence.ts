/**
 * What one stream says of the endpoints that ran it, for roll-outs: whether it
 * was failed, the time to its first event, and the pace of its events.
 */
import type {Clock} from '@irisdock/kernel';
import type {EndpointRecord} from './endpoint_record.js';
import type {Rollouts} from './rollouts.js';
import type {StreamReport} from './stream_report.js';

/** Tells of one stream. */
export class StreamEvidence {
  private sentAt = 0;

  constructor(
    private readonly rollouts: Rollouts,
    private readonly route: string,
    private readonly report: StreamReport,
    private readonly clock: Clock,
  ) {}

  /** Takes it that the stream was sent to an endpoint. */
  recordSend(): void {
    this.sentAt = this.clock.getNow();
  }

  /** Takes the first event of the stream. */
  recordFirstEvent(endpoint: EndpointRecord): void {
    this.record(endpoint, this.route, false, this.clock.getNow() - this.sentAt);
  }

  /** Takes it that the endpoint answered with a failure of its own. */
  recordFailure(endpoint: EndpointRecord): void {
    this.record(endpoint, this.route, true, 0);
  }

  /** Takes the end; the pace is judged beside the time to the first event. */
  recordCompletion(endpoint: EndpointRecord): void {
    const ms = this.report.getPaceMs();
    if (ms === undefined) return;
    this.record(endpoint, `${this.route} pace`, false, ms);
  }

  private record(
    endpoint: EndpointRecord,
    route: string,
    isFailed: boolean,
    ms: number,
  ): void {
    this.rollouts.recordAnswer(endpoint, {route, isFailed, ms});
  }
}
