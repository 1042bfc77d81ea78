/**
 * Leases on work that only one host at a time may do. A lease is a row in the
 * platform's table with a fencing token that grows with each new holder. The
 * holder stops a safety margin before its lease expires by its own monotonic
 * clock. Another host acquires the lease only after it has seen the row
 * unchanged, by its own clock, for the lease plus the longest order, so clocks
 * of different hosts are never compared.
 */

/** A lease row as read from the table. */
export interface LeaseRow {
  readonly holder: string;
  /** The fencing token. */
  readonly fence: number;
  /** Grows with each renewal. */
  readonly renewal: number;
}

/** Durations of a lease, in milliseconds. */
export interface LeaseTimings {
  readonly leaseMs: number;
  /** How long before the expiry the holder stops. */
  readonly marginMs: number;
  /** The longest time that an order may be in flight. */
  readonly maxOrderMs: number;
}

/** Default durations. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMs: 9000,
  marginMs: 3000,
  maxOrderMs: 3000,
};

/** The next step of a host that wants the lease. */
export type LeaseStep =
  | {readonly step: 'acquire'; readonly row: LeaseRow}
  | {readonly step: 'renew'; readonly row: LeaseRow}
  | {readonly step: 'wait'};

/** Tracks a lease from the view of one host. */
export class LeaseState {
  private seen: {row: LeaseRow; since: number} | undefined;
  private held: {fence: number; until: number} | undefined;

  constructor(
    private readonly self: string,
    private readonly times: LeaseTimings,
  ) {}

  /**
   * Decides the next step.
   *
   * @param row The row as read; undefined if there is none.
   * @param now When the read began.
   */
  decide(row: LeaseRow | undefined, now: number): LeaseStep {
    if (row === undefined) return this.createAcquire(0, 0);
    if (row.holder === this.self) {
      const renewal = row.renewal + 1;
      // A host whose lease expired needs a new fencing token.
      if (this.getFencingToken(now) === undefined) {
        return this.createAcquire(row.fence, row.renewal);
      }
      return {step: 'renew', row: {...row, renewal}};
    }
    if (this.seen === undefined || !isSame(this.seen.row, row)) {
      this.seen = {row, since: now};
    }
    const {leaseMs, maxOrderMs} = this.times;
    if (now - this.seen.since < leaseMs + maxOrderMs) return {step: 'wait'};
    return this.createAcquire(row.fence, row.renewal);
  }

  /**
   * Records that a lease row was written.
   *
   * @param begunAt When the write began; the lease runs from then on.
   */
  recordWrite(row: LeaseRow, begunAt: number): void {
    this.seen = undefined;
    const until = begunAt + this.times.leaseMs - this.times.marginMs;
    this.held = {fence: row.fence, until};
  }

  /** Returns the fencing token while orders may be started. */
  getFencingToken(now: number): number | undefined {
    if (this.held === undefined || now >= this.held.until) return undefined;
    return this.held.fence;
  }

  private createAcquire(fence: number, renewal: number): LeaseStep {
    const row = {holder: this.self, fence: fence + 1, renewal: renewal + 1};
    return {step: 'acquire', row};
  }
}

function isSame(a: LeaseRow, b: LeaseRow): boolean {
  return (
    a.holder === b.holder && a.fence === b.fence && a.renewal === b.renewal
  );
}
