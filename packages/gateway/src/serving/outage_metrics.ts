/** Metrics of what a host does while many engines are lost. */
import {Counter, type Registry} from 'prom-client';

/** Metrics of lent retries and of refusals by an estimate. */
export class OutageMetrics {
  readonly retryLoans: Counter;
  readonly lateRefusals: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    this.retryLoans = new Counter({
      name: 'irisdock_gateway_retry_loans_total',
      help: 'Searches for retries that other hosts lend, a count, by result.',
      labelNames: ['result'],
      registers,
    });
    this.lateRefusals = new Counter({
      name: 'irisdock_gateway_late_refusals_total',
      help: 'New streams refused as their first event would be late, a count.',
      labelNames: ['service'],
      registers,
    });
  }
}
