/**
 * The sends of this host that wait for permits of one endpoint. Their permits
 * are requested together, one request at a time: a host has at most one request
 * under way, however many sends wait.
 */
import {
  NO_SENDS,
  type SendCounts,
  type SendPriority,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import {
  SendPermit,
  type LimitHold,
  type LimitHoldReason,
  type SendAdmission,
  type SendTarget,
} from '../serving/send_gate.js';

/** The reply to a permit request. */
export type PermitReply =
  /** The endpoint has no limit any more. */
  | {readonly kind: 'free'}
  /** There is no issuer, or it did not answer in time. */
  | {readonly kind: 'silent'; readonly waitMs: number}
  | {
      readonly kind: 'given';
      readonly granted: SendCounts;
      readonly waitMs: number;
      readonly pauseMs: number;
      readonly lastReturnMs: number;
    };

/** A queue's request for permits. */
export interface QueueRequest {
  readonly wanted: SendCounts;
  /** Callers that were told to retry later since the last request. */
  readonly refused: number;
  /** Selects the issuer where there are several. */
  readonly turn: number;
}

/** Dependencies of a queue. */
export interface PermitQueueParts {
  readonly clock: Clock;
  /** Selects the first issuer; it differs between hosts. */
  readonly firstTurn: number;
  /** Sends a request to the issuer. */
  readonly poll: (question: QueueRequest) => Promise<PermitReply>;
  /** Returns the limit, in requests per second; undefined without one. */
  readonly findRate: () => number | undefined;
  readonly findIssuer: (turn: number) => string | undefined;
}

interface Waiter {
  readonly priority: SendPriority;
  readonly target: SendTarget;
  readonly finish: (admission: SendAdmission) => void;
}

const MS_PER_SECOND = 1000;

/** Queues the sends to one endpoint until they get permits. */
export class PermitQueue {
  /** Sends that were admitted and held back by this queue. */
  given = 0;
  held = 0;
  private waiting: Waiter[] = [];
  private isPolling = false;
  private pausedUntil = -Infinity;
  private nextPermitAt = -Infinity;
  private nextProbeAt = -Infinity;
  private reason: LimitHoldReason = 'used-up';
  private lastRetryAt = -Infinity;
  private refused = 0;
  private turn: number;

  constructor(private readonly parts: PermitQueueParts) {
    this.turn = parts.firstTurn;
  }

  /** Waits for a permit, for one request to the issuer. */
  async wait(
    target: SendTarget,
    priority: SendPriority,
  ): Promise<SendAdmission> {
    const isPaused = this.parts.clock.getNow() < this.pausedUntil;
    if (isPaused && priority !== 'begun') return this.createHold(target);
    return new Promise((finish) => {
      this.waiting.push({priority, target, finish});
      if (!this.isPolling) void this.pollAll();
    });
  }

  /** Computes after how long one more caller may retry, in ms. */
  computeRetryDelayMs(perSecond: number): number {
    const now = this.parts.clock.getNow();
    const lastMs = Math.max(0, this.lastRetryAt - now);
    const afterMs = ((this.refused + 1) * MS_PER_SECOND) / perSecond;
    return Math.max(this.nextPermitAt - now, lastMs + afterMs);
  }

  /** Lets sends request permits again after the limit has changed. */
  endPause(): void {
    this.pausedUntil = -Infinity;
  }

  /** Whether the endpoint may be probed now: true at most once per interval. */
  takeProbe(intervalMs: number): boolean {
    const now = this.parts.clock.getNow();
    if (now < this.nextProbeAt) return false;
    this.nextProbeAt = now + intervalMs;
    return true;
  }

  /** Records that a caller was told to retry later. */
  addRetry(): void {
    this.refused++;
  }

  private async pollAll(): Promise<void> {
    this.isPolling = true;
    while (this.waiting.length > 0) {
      const waiters = this.waiting;
      this.waiting = [];
      const {refused} = this;
      this.refused = 0;
      const reply = await this.parts.poll({
        wanted: countByPriority(waiters),
        refused,
        turn: this.turn,
      });
      this.finishAll(waiters, reply);
    }
    this.isPolling = false;
  }

  private finishAll(waiters: readonly Waiter[], reply: PermitReply): void {
    if (reply.kind === 'free') {
      for (const {target, finish} of waiters) finish(new SendPermit(target));
      return;
    }
    const now = this.parts.clock.getNow();
    this.nextPermitAt = now + reply.waitMs;
    this.reason = reply.kind === 'given' ? 'used-up' : 'no-issuer';
    if (reply.kind === 'given') this.lastRetryAt = now + reply.lastReturnMs;
    const remaining = {...(reply.kind === 'given' ? reply.granted : NO_SENDS)};
    for (const {priority, target, finish} of waiters) {
      if (remaining[priority] > 0) {
        remaining[priority]--;
        this.given++;
        finish(new SendPermit(target));
        continue;
      }
      // Another issuer, if there is one, may have permits left.
      this.turn++;
      if (priority === 'usual') {
        const {waitMs} = reply;
        const pauseMs = reply.kind === 'given' ? reply.pauseMs : waitMs;
        this.pausedUntil = now + pauseMs;
      }
      finish(this.createHold(target));
    }
  }

  private createHold(target: SendTarget): SendAdmission {
    const {clock, findRate, findIssuer} = this.parts;
    const perSecond = findRate();
    // The limit ended while the request was under way.
    if (perSecond === undefined) return new SendPermit(target);
    this.held++;
    const hold: LimitHold = {
      kind: 'held',
      target,
      reason: this.reason,
      perSecond,
      issuer: findIssuer(this.turn),
      waitMs: Math.max(0, this.nextPermitAt - clock.getNow()),
    };
    return hold;
  }
}

function countByPriority(waiters: readonly Waiter[]): SendCounts {
  const counts = {...NO_SENDS};
  for (const {priority} of waiters) counts[priority]++;
  return counts;
}
