/** Metrics of the requests that this host serves. */
import {Counter, Histogram, type Registry} from 'prom-client';

/** Bounds of the buckets for answer latency, in seconds. */
const ANSWER_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
/** Bounds of the buckets for pauses after a loss, in seconds. */
const RESUME_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 2, 5];

/** Metrics of requests, losses and latencies. */
export class ServingMetrics {
  readonly requests: Counter;
  readonly losses: Counter;
  readonly lingeringCloses: Counter;
  readonly lostRuns: Counter;
  readonly resumptions: Counter;
  readonly origins: Counter;
  readonly versionRefusals: Counter;
  readonly answerSeconds: Histogram;
  readonly resumeSeconds: Histogram;

  constructor(registry: Registry) {
    const registers = [registry];
    this.requests = new Counter({
      name: 'irisdock_gateway_requests_total',
      help: 'Finished requests, a count, by kind of route and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.losses = new Counter({
      name: 'irisdock_gateway_losses_total',
      help: 'Sends without a usable answer, a count, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.lingeringCloses = new Counter({
      name: 'irisdock_gateway_lingering_closes_total',
      help: 'Connections closed after a refusal while the request was arriving, a count, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.lostRuns = new Counter({
      name: 'irisdock_gateway_lost_runs_total',
      help: 'Lost runs, a count, by the result of their endpoint exit checks.',
      labelNames: ['end'],
      registers,
    });
    this.resumptions = new Counter({
      name: 'irisdock_gateway_resumptions_total',
      help: 'Resumed streams, a count, by software version: same, other than before, or unknown before.',
      labelNames: ['version'],
      registers,
    });
    this.origins = new Counter({
      name: 'irisdock_gateway_origin_lookups_total',
      help: 'Lookups of the software version that began a stream, a count, by what the result rests on.',
      labelNames: ['source'],
      registers,
    });
    this.versionRefusals = new Counter({
      name: 'irisdock_gateway_version_refusals_total',
      help: 'Resumed streams refused because their software version is unknown or has no endpoint, a count.',
      labelNames: ['reason'],
      registers,
    });
    this.answerSeconds = new Histogram({
      name: 'irisdock_gateway_answer_seconds',
      help: 'Time to a complete answer or a first event, in seconds.',
      labelNames: ['kind'],
      buckets: ANSWER_BUCKETS,
      registers,
    });
    this.resumeSeconds = new Histogram({
      name: 'irisdock_gateway_resume_seconds',
      help: 'Time from the last event before a loss to the next, in seconds.',
      buckets: RESUME_BUCKETS,
      registers,
    });
  }
}
