/**
 * Leases on work that only one host at a time may do. A lease is a row in the
 * store with a fencing token that grows with each acquisition. The holder may
 * start orders until a margin before its lease expires, counted from the begin
 * of the last confirmed write. Another host acquires the lease only after it
 * has seen the row unchanged for the lease plus the longest order, counted from
 * the end of the read that first showed it; of its own lease and that of the
 * row, the longer one counts. Clocks of different hosts are never compared.
 * docs/design/singleton_tasks.md.
 */
import type {ClockTimes} from '@irisdock/kernel';

/** A lease row as read from the table. */
export interface LeaseRow {
  readonly holder: string;
  /** The fencing token. */
  readonly fence: number;
  /** Grows with each renewal. */
  readonly renewal: number;
  /**
   * The duration of the holder's lease, in ms; it differs from that of the
   * reader while a rolling restart changes it. Undefined in rows of versions
   * that do not write it, which stand for the reader's own duration.
   */
  readonly leaseMs?: number | undefined;
}

/** Durations of a lease, in milliseconds. */
export interface LeaseTimings {
  readonly leaseMs: number;
  /** How long before the expiry the holder stops. */
  readonly marginMs: number;
  /** The longest time that an order may be in flight. */
  readonly maxOrderMs: number;
  /**
   * How long a host that never saw the row waits before it creates one. A store
   * that was restored from a backup may have lost the row of a present holder.
   */
  readonly absentRowWaitMs: number;
}

/** Default durations. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMs: 9000,
  marginMs: 3000,
  maxOrderMs: 3000,
  absentRowWaitMs: 0,
};

/** The divisors of the lease that give the other durations. */
const MARGIN_DIVISOR = 5;
const MAX_ORDER_DIVISOR = 3;

/** Derives all durations of a lease from its own, in ms. */
export function computeLeaseTimings(leaseMs: number): LeaseTimings {
  const maxOrderMs = Math.floor(leaseMs / MAX_ORDER_DIVISOR);
  return {
    leaseMs,
    marginMs: Math.ceil(leaseMs / MARGIN_DIVISOR),
    maxOrderMs,
    absentRowWaitMs: leaseMs + maxOrderMs,
  };
}

/**
 * Fencing tokens per era of the store. A restored store shows a lower fencing
 * token than the one in use; the first token of an era is above all of the
 * eras before, as no era lasts for a million acquisitions.
 */
const FENCES_PER_ERA = 1_000_000;

/**
 * How far the wall and the monotonic clock may drift apart during a lease, in
 * ms. Corrections of a clock's rate are below 1 ms per s.
 */
const MAX_CLOCK_DIFFERENCE_MS = 50;

/** The next step of a host that wants the lease. */
export type LeaseStep =
  | {readonly step: 'acquire'; readonly row: LeaseRow}
  | {readonly step: 'renew'; readonly row: LeaseRow}
  /** Nothing can be done for `retryMs`, unless the row changes. */
  | {readonly step: 'wait'; readonly retryMs: number};

interface SeenRow {
  readonly row: LeaseRow | undefined;
  readonly era: number;
  /** The end of the read that first showed the row. */
  readonly since: ClockTimes;
}

/** Tracks a lease from the view of one process. */
export class LeaseState {
  private seen: SeenRow | undefined;
  private held: {fence: number; since: ClockTimes} | undefined;
  private highestFence = 0;
  /** The era in which this process last decided to write the row. */
  private ownEra: number | undefined;
  private ordersInFlight = 0;
  private unansweredAt: ClockTimes | undefined;
  /** The longest lease that another process may still hold, in ms. */
  protected otherLeaseMs = 0;

  /**
   * @param self Names this process: a restarted one needs another name, as
   *     orders of the process before may still be in flight.
   */
  constructor(
    readonly self: string,
    protected readonly times: LeaseTimings,
  ) {}

  /**
   * Decides the next step.
   *
   * @param row The row as read; undefined if there is none.
   * @param now When the read ended. A renewal that was committed during the
   *     read could have begun after the read did.
   * @param era The era of the store; a change means that it was restored.
   */
  decide(row: LeaseRow | undefined, now: ClockTimes, era = 0): LeaseStep {
    this.recordLeaseMs(row, era);
    this.highestFence = Math.max(this.highestFence, row?.fence ?? 0);
    const isOwn = this.isOwnRow(row, era);
    if (isOwn && row && this.getFencingToken(now) === row.fence) {
      return {step: 'renew', row: {...row, renewal: row.renewal + 1}};
    }
    this.held = undefined;
    const ordersMs = this.getOrdersLeftMs(now);
    const takeoverMs = isOwn ? 0 : this.getTakeoverLeftMs(row, now, era);
    const retryMs = Math.max(ordersMs, takeoverMs);
    if (retryMs > 0) return {step: 'wait', retryMs};
    this.ownEra = era;
    return {step: 'acquire', row: this.createRow(row, era)};
  }

  /**
   * Records that a write of the lease row was confirmed. A write without a
   * response must not be recorded.
   *
   * @param begun When the write began; the lease runs from then on.
   * @param era The era of the store in which the row was written.
   */
  recordWrite(row: LeaseRow, begun: ClockTimes, era = 0): void {
    if (era !== this.ownEra) return;
    this.seen = undefined;
    this.otherLeaseMs = 0;
    this.highestFence = Math.max(this.highestFence, row.fence);
    this.held = {fence: row.fence, since: begun};
  }

  /** Stops using the lease; the row stays, so that nobody takes it early. */
  drop(): void {
    this.held = undefined;
  }

  /**
   * Returns the fencing token while orders may be started. Once it has expired,
   * it does not come back when the wall clock is set back.
   */
  getFencingToken(now: ClockTimes): number | undefined {
    if (this.held === undefined) return undefined;
    const {leaseMs, marginMs} = this.times;
    if (this.computeHeldMs(this.held.since, now) >= leaseMs - marginMs) {
      this.held = undefined;
    }
    return this.held?.fence;
  }

  /** Records that an order is about to be sent. */
  recordOrderStart(): void {
    this.ordersInFlight++;
  }

  /**
   * Records the end of an order.
   *
   * @param isSettled Whether it cannot arrive any more: it was answered or
   *     never sent.
   */
  recordOrderEnd(now: ClockTimes, isSettled: boolean): void {
    this.ordersInFlight--;
    if (!isSettled) this.unansweredAt = now;
  }

  /**
   * Computes for how long the lease may have been held, in ms. A suspended
   * machine's monotonic clock stood still, but its wall clock did not. A wall
   * clock that was set back can hide a part of a suspension, so the lease is
   * over once the clocks differ.
   */
  protected computeHeldMs(since: ClockTimes, now: ClockTimes): number {
    const monotonicMs = now.nowMs - since.nowMs;
    const wallMs = now.wallMs - since.wallMs;
    const isSure = Math.abs(wallMs - monotonicMs) <= MAX_CLOCK_DIFFERENCE_MS;
    return isSure ? Math.max(monotonicMs, wallMs) : Infinity;
  }

  /**
   * Computes how much time has passed at least, in ms. The wall clock may have
   * been set forward, and a suspension may have been detected by mistake.
   */
  protected computeWaitedMs(since: ClockTimes, now: ClockTimes): number {
    return now.steadyMs - since.steadyMs;
  }

  /**
   * Whether the row names this process, and no other one can have held the
   * lease since: a store that was restored shows an old row.
   */
  protected isOwnRow(row: LeaseRow | undefined, era: number): boolean {
    return row?.holder === this.self && this.ownEra === era;
  }

  /**
   * How long orders of this process may still arrive, in ms. The margin covers
   * differences between clocks, as in a takeover.
   */
  protected getOrdersLeftMs(now: ClockTimes): number {
    const {maxOrderMs, marginMs} = this.times;
    if (this.ordersInFlight > 0) return maxOrderMs;
    if (this.unansweredAt === undefined) return 0;
    const waitedMs = this.computeWaitedMs(this.unansweredAt, now);
    return maxOrderMs + marginMs - waitedMs;
  }

  /** How long the row of another process must still stay unchanged, in ms. */
  protected getTakeoverLeftMs(
    row: LeaseRow | undefined,
    now: ClockTimes,
    era: number,
  ): number {
    const isKnown = this.seen !== undefined && isSame(this.seen, row, era);
    const seen = isKnown && this.seen ? this.seen : {row, era, since: now};
    this.seen = seen;
    const {absentRowWaitMs} = this.times;
    const isFirst = row === undefined && this.highestFence === 0 && era === 0;
    const waitMs = isFirst ? absentRowWaitMs : this.computeTakeoverMs();
    return waitMs - this.computeWaitedMs(seen.since, now);
  }

  /** The lease and the longest order of any process that may hold it, in ms. */
  protected computeTakeoverMs(): number {
    const {leaseMs, maxOrderMs} = this.times;
    const other = computeLeaseTimings(this.otherLeaseMs);
    return Math.max(leaseMs + maxOrderMs, other.leaseMs + other.maxOrderMs);
  }

  /**
   * Records the lease of the row's holder. A holder that acquired in the same
   * era has waited out the ones before. After a restore of the store, or when
   * the row vanished, a holder whose row is gone may still be within its lease.
   */
  protected recordLeaseMs(row: LeaseRow | undefined, era: number): void {
    const isNext =
      row !== undefined &&
      row.fence > this.highestFence &&
      (this.seen === undefined || this.seen.era === era);
    const earlierMs = isNext ? 0 : this.otherLeaseMs;
    this.otherLeaseMs = Math.max(earlierMs, row?.leaseMs ?? 0);
  }

  protected createRow(row: LeaseRow | undefined, era: number): LeaseRow {
    const highest = Math.max(this.highestFence, era * FENCES_PER_ERA);
    const renewal = (row?.renewal ?? 0) + 1;
    return {holder: this.self, fence: highest + 1, renewal};
  }
}

function isSame(
  seen: SeenRow,
  row: LeaseRow | undefined,
  era: number,
): boolean {
  return (
    seen.era === era &&
    seen.row?.holder === row?.holder &&
    seen.row?.fence === row?.fence &&
    seen.row?.renewal === row?.renewal
  );
}
