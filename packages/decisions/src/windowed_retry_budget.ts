/**
 * Limits the retries of a service in a sliding window. Each host enforces its
 * share of the budget of all hosts: a ratio of the requests that it received
 * for the service, plus an equal share of the fixed allowance.
 *
 * Where many hosts share a budget, most shares are less than one retry, and a
 * budget that is split into them allows none at all. Hosts may therefore lend
 * each other fractions of a retry. A loan counts as used at the lender, so that
 * the retries of all hosts stay within the budget of all hosts.
 */

/** The budget of all hosts together. */
export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries per request in the window. */
  readonly ratio: number;
  /** Further retries per window, regardless of requests, for all hosts. */
  readonly allowance: number;
  /**
   * The fraction of both that is used, as a safety margin. A reduced budget is
   * the rest, so that it fits beside what was used before.
   */
  readonly usedFraction: number;
}

/** A number of retries, or a fraction of one, at a time in ms. */
interface TimedAmount {
  readonly at: number;
  readonly amount: number;
}

/**
 * How long a loan may be used, in ms. Short, as it counts longer at the lender
 * by this time. The streams of a lost failure domain need it at once.
 */
const LOAN_TTL_MS = 500;
/**
 * The maximum time from a loan to the arrival of its answer, in ms. Borrowers
 * discard later answers (`peer_requests.ts` of the gateway).
 */
const MAX_ANSWER_MS = 300;
/** Sums of fractions are compared with this tolerance. */
const TOLERANCE = 1e-9;

/** How many hosts are asked for a loan at first, and the growth from there. */
const FIRST_LENDERS = 2;
const LENDERS_GROWTH = 1.5;
/** Which part of what is missing each of them is asked for. */
const ASKED_FRACTION = 0.5;

/**
 * Splits lenders into rounds. The hosts of a round are asked at the same time;
 * what they lend beyond the missing part of a retry is lost, so the first
 * rounds, which mostly suffice, are small. With rounds of four hosts, each asked
 * for all that is missing, 190 streams were cut in the replay of outages, for
 * 128 with these.
 */
export function splitLenders<T>(lenders: readonly T[]): T[][] {
  const rounds: T[][] = [];
  let size = FIRST_LENDERS;
  for (let from = 0; from < lenders.length;) {
    rounds.push(lenders.slice(from, from + size));
    from += size;
    size = Math.floor(size * LENDERS_GROWTH);
  }
  return rounds;
}

/** Computes what each host of a round is asked for. */
export function computeWantedLoan(missing: number): number {
  return missing * ASKED_FRACTION;
}

/** One host's share of a retry budget. */
export class WindowedRetryBudget {
  /**
   * Whether only the safety margin is used, as lost hosts may have used all
   * else.
   */
  isReduced = false;
  private readonly requests: number[] = [];
  /** Retries, and loans to other hosts. */
  private used: TimedAmount[] = [];
  /** Loans from other hosts that are not used yet. */
  private loans: TimedAmount[] = [];

  constructor(private options: WindowedRetryBudgetOptions) {}

  /** Changes the bounds; counted requests and retries remain. */
  setBounds(options: WindowedRetryBudgetOptions): void {
    this.options = options;
  }

  /** Counts a received request. */
  addRequest(nowMs: number): void {
    this.requests.push(nowMs);
    this.dropOld(nowMs);
  }

  /** Whether a retry is left of this host's share. */
  hasRetry(nowMs: number, hosts: number): boolean {
    return this.getMissing(nowMs, hosts) === 0;
  }

  /** Takes one retry; false when this host's share is used up. */
  takeRetry(nowMs: number, hosts: number): boolean {
    if (!this.hasRetry(nowMs, hosts)) return false;
    const borrowed = Math.min(1, this.countLoans());
    this.dropLoans(borrowed);
    if (borrowed < 1) this.used.push({at: nowMs, amount: 1 - borrowed});
    return true;
  }

  /** Returns the fraction of a retry that is missing for one; 0 if none is. */
  getMissing(nowMs: number, hosts: number): number {
    const missing = 1 - this.getSpare(nowMs, hosts) - this.countLoans();
    return missing > TOLERANCE ? Math.min(1, missing) : 0;
  }

  /**
   * Takes a part of a retry for another host; returns how much. It counts from
   * its last possible use, as the retry must not stay longer in the borrower's
   * window than the loan in this one.
   */
  offerLoan(wanted: number, nowMs: number, hosts: number): number {
    const spare = this.getSpare(nowMs, hosts);
    const amount = Math.max(0, Math.min(wanted, 1, spare));
    const at = nowMs + MAX_ANSWER_MS + LOAN_TTL_MS;
    if (amount > 0) this.used.push({at, amount});
    return amount;
  }

  /** Whether more was used than a reduced budget allows. */
  isUsedBeyondReduced(nowMs: number, hosts: number): boolean {
    this.dropOld(nowMs);
    const max = this.reducedFraction * this.computeShare(hosts);
    return countAmounts(this.used) > max + TOLERANCE;
  }

  /** Adds a loan of another host, which is usable for a short time. */
  addLoan(amount: number, nowMs: number): void {
    if (amount > 0) this.loans.push({at: nowMs, amount});
  }

  /** Returns what is left of this host's share, without loans. */
  private getSpare(nowMs: number, hosts: number): number {
    this.dropOld(nowMs);
    const {usedFraction} = this.options;
    const fraction = this.isReduced ? this.reducedFraction : usedFraction;
    const max = fraction * this.computeShare(hosts);
    return Math.max(0, max - countAmounts(this.used));
  }

  private get reducedFraction(): number {
    const {usedFraction} = this.options;
    return Math.min(usedFraction, 1 - usedFraction);
  }

  private computeShare(hosts: number): number {
    const {ratio, allowance} = this.options;
    return ratio * this.requests.length + allowance / Math.max(1, hosts);
  }

  private countLoans(): number {
    return countAmounts(this.loans);
  }

  /** Takes loans out, the oldest first. */
  private dropLoans(amount: number): void {
    let left = amount;
    const kept: TimedAmount[] = [];
    for (const loan of this.loans) {
      const taken = Math.min(left, loan.amount);
      left -= taken;
      if (loan.amount - taken > TOLERANCE) {
        kept.push({at: loan.at, amount: loan.amount - taken});
      }
    }
    this.loans = kept;
  }

  private dropOld(nowMs: number): void {
    const from = nowMs - this.options.windowMs;
    while ((this.requests[0] ?? nowMs) < from) this.requests.shift();
    this.used = this.used.filter(({at}) => at >= from);
    this.loans = this.loans.filter(({at}) => nowMs - at <= LOAN_TTL_MS);
  }
}

function countAmounts(amounts: readonly TimedAmount[]): number {
  let sum = 0;
  for (const {amount} of amounts) sum += amount;
  return sum;
}
