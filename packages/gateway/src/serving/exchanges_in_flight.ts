/** The exchanges with callers and with other hosts that have not ended. */
import type {CallerExchange} from './caller_exchange.js';

/** Tracks exchanges until they have ended and their responses are closed. */
export class ExchangesInFlight {
  private readonly exchanges = new Set<CallerExchange>();

  /** The number of exchanges. */
  get size(): number {
    return this.exchanges.size;
  }

  /** Adds an exchange. */
  add(exchange: CallerExchange): void {
    this.exchanges.add(exchange);
  }

  /** Drops an exchange that has ended. */
  drop(exchange: CallerExchange): void {
    this.exchanges.delete(exchange);
  }

  /** Stops those whose answer has not begun; returns their number. */
  stopAll(): number {
    let count = 0;
    for (const exchange of this.exchanges) {
      if (exchange.stop()) count++;
    }
    return count;
  }
}
