/**
 * Reports to rollouts how endpoints answered one stream: whether they failed,
 * the time to the first event, and the mean time between events.
 */
import type {Clock} from '@irisdock/kernel';
import type {EndpointRecord} from './endpoint_record.js';
import type {Rollouts} from './rollouts.js';
import type {StreamReport} from './stream_report.js';

/** Reports the answers to one stream. */
export class StreamEvidence {
  constructor(
    private readonly rollouts: Rollouts,
    private readonly route: string,
    private readonly report: StreamReport,
    private readonly clock: Clock,
  ) {}

  /**
   * Records the first event of the stream.
   *
   * @param sentAt When the stream was sent to the endpoint.
   */
  recordFirstEvent(endpoint: EndpointRecord, sentAt: number): void {
    this.record(endpoint, this.route, false, this.clock.getNow() - sentAt);
  }

  /** Records that the endpoint answered with an error status. */
  recordFailure(endpoint: EndpointRecord): void {
    this.record(endpoint, this.route, true, 0);
  }

  /** Records the pace of a completed stream, as if it were another route. */
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
