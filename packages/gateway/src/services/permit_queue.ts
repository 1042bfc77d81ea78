/**
 * The sends of this host that wait for permits of one endpoint. They are asked for
 * together, one question at a time, so that a host asks no more often than its
 * questions take to be answered, however many sends wait.
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

/** What was answered to a question. */
export type PermitReply =
  /** The endpoint has no limit any more. */
  | {readonly kind: 'free'}
  /** Nobody hands out permits, or nobody answered in time. */
  | {readonly kind: 'silent'; readonly waitMs: number}
  | {
      readonly kind: 'given';
      readonly granted: SendCounts;
      readonly waitMs: number;
      readonly pauseMs: number;
      readonly lastReturnMs: number;
    };

/** What a queue asks. */
export interface QueueRequest {
  readonly wanted: SendCounts;
  readonly refused: number;
  /** Which of the issuers is asked, where there are several. */
  readonly turn: number;
}

/** What a queue works with. */
export interface PermitQueueParts {
  readonly clock: Clock;
  /** Which issuer this host asks first; others begin with others. */
  readonly firstTurn: number;
  /** Asks the issuer. */
  readonly poll: (question: QueueRequest) => Promise<PermitReply>;
  /** The limit, in requests a second; undefined without one. */
  readonly findRate: () => number | undefined;
  readonly findIssuer: (turn: number) => string | undefined;
}

interface Waiter {
  readonly use: SendPriority;
  readonly target: SendTarget;
  readonly finish: (admission: SendAdmission) => void;
}

const MILLI = 1000;

/** The queue for one endpoint. */
export class PermitQueue {
  /** Sends that were let through and held back since the queue began. */
  given = 0;
  held = 0;
  private waiting: Waiter[] = [];
  private isAsking = false;
  private quietUntil = -Infinity;
  private nextAt = -Infinity;
  private turnAt = -Infinity;
  private reason: LimitHoldReason = 'used-up';
  private lastReturnAt = -Infinity;
  private refused = 0;
  private turn: number;

  constructor(private readonly parts: PermitQueueParts) {
    this.turn = parts.firstTurn;
  }

  /** Waits for a permit, as long as one question takes. */
  async wait(target: SendTarget, use: SendPriority): Promise<SendAdmission> {
    const isQuiet = this.parts.clock.getNow() < this.quietUntil;
    if (isQuiet && use !== 'begun') return this.createHold(target);
    return new Promise((finish) => {
      this.waiting.push({use, target, finish});
      if (!this.isAsking) void this.pollAll();
    });
  }

  /** Gives when one more caller may come back, in ms from now. */
  computeRetryDelayMs(perSecond: number): number {
    const now = this.parts.clock.getNow();
    const lastMs = Math.max(0, this.lastReturnAt - now);
    const afterMs = ((this.refused + 1) * MILLI) / perSecond;
    return Math.max(this.nextAt - now, lastMs + afterMs);
  }

  /** Takes it that the limit has changed: there may be permits now. */
  endPause(): void {
    this.quietUntil = -Infinity;
  }

  /** Takes the turn to try the endpoint; there is one in a while. */
  takeProbe(everyMs: number): boolean {
    const now = this.parts.clock.getNow();
    if (now < this.turnAt) return false;
    this.turnAt = now + everyMs;
    return true;
  }

  /** Takes it that a caller was told to come back here. */
  addRetry(): void {
    this.refused++;
  }

  private async pollAll(): Promise<void> {
    this.isAsking = true;
    while (this.waiting.length > 0) {
      const asked = this.waiting;
      this.waiting = [];
      const {refused} = this;
      this.refused = 0;
      const reply = await this.parts.poll({
        wanted: countUses(asked),
        refused,
        turn: this.turn,
      });
      this.finishAll(asked, reply);
    }
    this.isAsking = false;
  }

  private finishAll(asked: readonly Waiter[], reply: PermitReply): void {
    if (reply.kind === 'free') {
      for (const {target, finish} of asked) finish(new SendPermit(target));
      return;
    }
    const now = this.parts.clock.getNow();
    this.nextAt = now + reply.waitMs;
    this.reason = reply.kind === 'given' ? 'used-up' : 'no-issuer';
    if (reply.kind === 'given') this.lastReturnAt = now + reply.lastReturnMs;
    const left = {...(reply.kind === 'given' ? reply.granted : NO_SENDS)};
    for (const {use, target, finish} of asked) {
      if (left[use] > 0) {
        left[use]--;
        this.given++;
        finish(new SendPermit(target));
        continue;
      }
      // Where there are several issuers, another may have some left.
      this.turn++;
      if (use === 'usual') {
        const {waitMs} = reply;
        const pauseMs = reply.kind === 'given' ? reply.pauseMs : waitMs;
        this.quietUntil = now + pauseMs;
      }
      finish(this.createHold(target));
    }
  }

  private createHold(target: SendTarget): SendAdmission {
    const {clock, findRate, findIssuer} = this.parts;
    const perSecond = findRate();
    // It ended while the question was under way.
    if (perSecond === undefined) return new SendPermit(target);
    this.held++;
    const hold: LimitHold = {
      kind: 'held',
      target,
      reason: this.reason,
      perSecond,
      issuer: findIssuer(this.turn),
      waitMs: Math.max(0, this.nextAt - clock.getNow()),
    };
    return hold;
  }
}

function countUses(waiters: readonly Waiter[]): SendCounts {
  const counts = {...NO_SENDS};
  for (const {use} of waiters) counts[use]++;
  return counts;
}
