/** Metrics of the requests that this host serves. */
import type {Clock} from '@irisdock/kernel';
import {Counter, Histogram, type Registry} from 'prom-client';

/** Bounds of the buckets for answer latency, in seconds. */
const ANSWER_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
/** Bounds of the buckets for pauses after a loss, in seconds. */
const RESUME_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 2, 5];

/** Creates a counter in the registry of the metrics. */
type CounterFactory = (
  name: string,
  labelNames: string[],
  help: string,
) => Counter;

/** Metrics of requests, losses and latencies. */
export class ServingMetrics {
  readonly requests: Counter;
  readonly losses: Counter;
  readonly silences: Counter;
  readonly handovers: Counter;
  readonly cutStreams: Counter;
  readonly lingeringCloses: Counter;
  readonly unreadAnswers: Counter;
  readonly lostRuns: Counter;
  readonly resumptions: Counter;
  readonly origins: Counter;
  readonly versionRefusals: Counter;
  readonly unknownPasts: Counter;
  readonly answerSeconds: Histogram;
  readonly resumeSeconds: Histogram;

  constructor(registry: Registry) {
    const createCounter = createCounterFactory(registry);
    this.requests = createCounter(
      'irisdock_gateway_requests_total',
      ['kind', 'outcome'],
      'Finished requests, a count, by kind of route and outcome.',
    );
    this.losses = createCounter(
      'irisdock_gateway_losses_total',
      ['reason'],
      'Sends without a usable answer, a count, by reason.',
    );
    this.silences = createCounter(
      'irisdock_gateway_silences_total',
      ['end'],
      'Silences of engines amid streams, a count, by how they ended.',
    );
    this.handovers = createCounter(
      'irisdock_gateway_handovers_total',
      ['result'],
      'Attempts beside silent ones, a count, by what became of them.',
    );
    this.cutStreams = createCounter(
      'irisdock_gateway_cut_streams_total',
      ['reason'],
      'Begun streams that were cut, a count, by why they had no retry.',
    );
    this.lostRuns = createCounter(
      'irisdock_gateway_lost_runs_total',
      ['end'],
      'Lost runs, a count, by the result of their endpoint exit checks.',
    );
    this.resumptions = createCounter(
      'irisdock_gateway_resumptions_total',
      ['version'],
      'Resumed streams, a count, by software version: same, other than before, or unknown before.',
    );
    this.origins = createCounter(
      'irisdock_gateway_origin_lookups_total',
      ['source', 'hosts'],
      'Lookups of the software version that began a stream, a count, by what the result rests on and whether other hosts answered.',
    );
    this.versionRefusals = createVersionRefusals(createCounter);
    this.unknownPasts = createUnknownPasts(createCounter);
    this.lingeringCloses = createCounter(
      'irisdock_gateway_lingering_closes_total',
      ['reason'],
      'Connections closed after a refusal while the request was arriving, a count, by reason.',
    );
    this.unreadAnswers = createCounter(
      'irisdock_gateway_unread_answers_total',
      ['reason'],
      'Connections closed as their callers did not read the answer, a count, by reason.',
    );
    this.answerSeconds = createAnswerHistogram(registry);
    this.resumeSeconds = createResumeHistogram(registry);
  }
}

/** Registers the metric of the stalls of this process. */
export function registerHostStalls(
  registry: Registry,
  clock: Pick<Clock, 'getStalledMs'>,
): void {
  new Counter({
    name: 'irisdock_gateway_host_stall_seconds_total',
    help: 'Time that this process stood still while streams ran, in seconds.',
    registers: [registry],
    collect() {
      this.reset();
      this.inc(clock.getStalledMs() / 1000);
    },
  });
}

function createCounterFactory(registry: Registry): CounterFactory {
  const registers = [registry];
  return (name, labelNames, help) =>
    new Counter({name, help, labelNames, registers});
}

function createVersionRefusals(createCounter: CounterFactory): Counter {
  return createCounter(
    'irisdock_gateway_version_refusals_total',
    ['reason'],
    'Resumed streams refused because their software version is unknown or has no endpoint, a count.',
  );
}

function createUnknownPasts(createCounter: CounterFactory): Counter {
  return createCounter(
    'irisdock_gateway_unknown_pasts_total',
    ['cause'],
    'Resumed streams refused because the software versions that their service had are not known, a count, by cause.',
  );
}

function createAnswerHistogram(registry: Registry): Histogram {
  return new Histogram({
    name: 'irisdock_gateway_answer_seconds',
    help: 'Time to a complete answer or a first event, in seconds.',
    labelNames: ['kind'],
    buckets: ANSWER_BUCKETS,
    registers: [registry],
  });
}

function createResumeHistogram(registry: Registry): Histogram {
  return new Histogram({
    name: 'irisdock_gateway_resume_seconds',
    help: 'Time from the last event before a loss to the next, in seconds.',
    buckets: RESUME_BUCKETS,
    registers: [registry],
  });
}
