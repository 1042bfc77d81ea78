/** The metrics of answer streams. */
import {Counter, Histogram, type Registry} from 'prom-client';

const RESUME_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10];
const FIRST_TOKEN_BUCKETS = [0.05, 0.1, 0.25, 0.5, 0.96, 2, 5, 10, 30];

/** Counters and histograms of answer streams. */
export class StreamMetrics {
  readonly tokens: Counter;
  readonly dropped: Counter;
  readonly losses: Counter;
  readonly orders: Counter;
  readonly falseAlarms: Counter;
  readonly answers: Counter;
  readonly resumeSeconds: Histogram;
  readonly firstTokenSeconds: Histogram;

  constructor(registry: Registry) {
    const registers = [registry];
    this.tokens = new Counter({
      name: 'irisdock_streams_tokens_total',
      help: 'Number of tokens sent to callers.',
      registers,
    });
    this.dropped = new Counter({
      name: 'irisdock_streams_tokens_dropped_total',
      help: 'Number of engine tokens not sent to callers, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.losses = new Counter({
      name: 'irisdock_streams_losses_total',
      help: 'Number of engine streams lost before their end, by kind.',
      labelNames: ['kind'],
      registers,
    });
    this.orders = new Counter({
      name: 'irisdock_streams_orders_total',
      help: 'Number of streams requested from engines, by mode.',
      labelNames: ['mode'],
      registers,
    });
    this.falseAlarms = new Counter({
      name: 'irisdock_streams_false_alarms_total',
      help: 'Number of stalled streams abandoned whose engine then answered.',
      registers,
    });
    this.answers = new Counter({
      name: 'irisdock_streams_answers_total',
      help: 'Number of finished answers, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.resumeSeconds = new Histogram({
      name: 'irisdock_streams_resume_seconds',
      help: 'Time from the last token before a loss to the next token.',
      buckets: RESUME_BUCKETS,
      registers,
    });
    this.firstTokenSeconds = new Histogram({
      name: 'irisdock_streams_first_token_seconds',
      help: 'Time from the request to its first token.',
      buckets: FIRST_TOKEN_BUCKETS,
      registers,
    });
  }
}
