/** The metrics of usage reports. */
import {Counter, Gauge, type Registry} from 'prom-client';

/** Counters of usage reports. */
export class UsageMetrics {
  readonly windows: Counter<'result'>;

  /** @param getUnsent Counts the final reports that are not accepted. */
  constructor(registry: Registry, getUnsent: () => number) {
    const registers = [registry];
    this.windows = new Counter({
      name: 'irisdock_gateway_usage_windows_total',
      help: 'Windows by result: sent in time, sent late, or missing, a count.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'irisdock_gateway_usage_unsent_windows',
      help: 'Final reports that the platform has not accepted, a count.',
      registers,
      collect() {
        this.set(getUnsent());
      },
    });
  }
}
