/**
 * Leases on work that one host at a time does. A lease is a row of the
 * platform's table with a fencing number that grows with each new holder. The
 * holder stops a margin before its lease ends by its own monotonic clock; the
 * next one waits the lease and the longest order out, counted from when it
 * itself first saw the row unchanged, so that no two clocks are compared.
 */

/** A lease row as it was read. */
export interface LeaseRow {
  readonly holder: string;
  readonly fence: number;
  /** Changes with each renewal. */
  readonly renewal: number;
}

/** How long leases last, in milliseconds. */
export interface LeaseTimings {
  readonly leaseMs: number;
  /** How long before its end the holder stops. */
  readonly marginMs: number;
  /** The longest that an order may be on its way. */
  readonly maxOrderMs: number;
}

/** The times unless settings say otherwise. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMs: 9000,
  marginMs: 3000,
  maxOrderMs: 3000,
};

/** What to do about the lease. */
export type LeaseStep =
  | {readonly step: 'acquire'; readonly row: LeaseRow}
  | {readonly step: 'renew'; readonly row: LeaseRow}
  | {readonly step: 'wait'};

/** One host's side of a lease. */
export class LeaseState {
  private seen: {row: LeaseRow; since: number} | undefined;
  private held: {fence: number; until: number} | undefined;

  constructor(
    private readonly self: string,
    private readonly times: LeaseTimings,
  ) {}

  /** Decides from the row that a read begun at `now` gave. */
  decide(row: LeaseRow | undefined, now: number): LeaseStep {
    if (row === undefined) return this.createAcquire(0, 0);
    if (row.holder === this.self) {
      const renewal = row.renewal + 1;
      // A host that let its lease lapse takes a new fencing number.
      if (this.getFencingToken(now) === undefined) {
        return this.createAcquire(row.fence, row.renewal);
      }
      return {step: 'renew', row: {...row, renewal}};
    }
    if (this.seen === undefined || !isSame(this.seen.row, row)) {
      this.seen = {row, since: now};
    }
    const {leaseMs, maxOrderMs: longestOrderMs} = this.times;
    if (now - this.seen.since < leaseMs + longestOrderMs) return {step: 'wait'};
    return this.createAcquire(row.fence, row.renewal);
  }

  /**
   * Notes that a write took effect.
   *
   * @param begunAt When the write was begun; the lease counts from there.
   */
  recordWrite(row: LeaseRow, begunAt: number): void {
    this.seen = undefined;
    const until = begunAt + this.times.leaseMs - this.times.marginMs;
    this.held = {fence: row.fence, until};
  }

  /** Gives the fencing number while orders may be begun. */
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
