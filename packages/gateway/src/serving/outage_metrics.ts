/** Metrics of what a host does while many engines are lost. */
import {Counter, type Registry} from 'prom-client';

/** Metrics of lent retries and of refusals by an estimate. */
export class OutageMetrics {
  readonly retryLoans: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    this.retryLoans = new Counter({
      name: 'irisdock_gateway_retry_loans_total',
      help: 'Searches for retries that other hosts lend, a count, by result.',
      labelNames: ['result'],
      registers,
    });
  }
}
