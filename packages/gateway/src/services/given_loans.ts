/**
 * Remembers which parts of retries were lent recently. A borrower whose answer is
 * late sends its request again, and only one of the answers is used, so a
 * repeated request must not take another loan.
 */
import type {Clock} from '@irisdock/kernel';
import type {LoanRequestDatagram} from '../model/loan_datagram.js';

/**
 * How long an answer is kept, in ms. A request is repeated for 50 ms, and its
 * answers are discarded after 300 ms.
 */
const KEPT_MS = 500;

interface GivenLoan {
  readonly amount: number;
  readonly givenAt: number;
}

/** The loans that this host gave recently. */
export class GivenLoans {
  /** By request, the oldest first. */
  private readonly loans = new Map<string, GivenLoan>();

  constructor(private readonly clock: Clock) {}

  /** Returns what a request was lent before; undefined for a new request. */
  findAmount(request: LoanRequestDatagram): number | undefined {
    this.dropExpired();
    return this.loans.get(formatKey(request))?.amount;
  }

  /** Records what a request was lent, which may be 0. */
  record(request: LoanRequestDatagram, amount: number): void {
    const givenAt = this.clock.getNow();
    this.loans.set(formatKey(request), {amount, givenAt});
  }

  private dropExpired(): void {
    const from = this.clock.getNow() - KEPT_MS;
    for (const [key, {givenAt}] of this.loans) {
      if (givenAt >= from) return;
      this.loans.delete(key);
    }
  }
}

function formatKey({name, number}: LoanRequestDatagram): string {
  return `${number} ${name}`;
}
