/**
 * How long a reader lets the store wait for a change: so that, of all readers
 * together, one is answered in each turn and vouches for the copies of all hosts.
 * After a change all are answered at once, and their order parts them again.
 * Readers that change places are answered at any moments at first, some close
 * together; each moves its next answer towards a turn behind the one before it.
 */

/** A place among the hosts that read for all. */
export interface ReaderRank {
  /** From 0; who comes first reads soonest after a change. */
  readonly rank: number;
  /** How many read. */
  readonly count: number;
}

/** The least time that the store may wait for a change, in ms. */
const LEAST_WAIT_MS = 50;
/** The part of what an answer is off its turn that the next one makes good. */
const SHIFT_PART = 0.5;

/** The turns of one reader. */
export class PollStagger {
  /** Whether the next wait is the first after a change, a failure or a new place. */
  private isFirst = true;
  private pauseMs = 0;
  /** When another reader last had an answer of the store. */
  private toldAt = -Infinity;

  /** @param turnMs The time between two answers to readers, in ms. */
  constructor(private readonly turnMs: number) {}

  /** Takes it that another reader had an answer. */
  recordPeerAnswer(at: number): void {
    this.toldAt = Math.max(this.toldAt, at);
  }

  /**
   * Takes it that all readers begin anew.
   *
   * @param pauseMs How long this one pauses before.
   */
  startCycle(pauseMs: number): void {
    this.isFirst = true;
    this.pauseMs = pauseMs;
  }

  /** Gives how long the store may wait, in whole ms, as it takes no parts. */
  takePollWaitMs({rank: place, count}: ReaderRank, now: number): number {
    const {isFirst, turnMs} = this;
    this.isFirst = false;
    const turns = isFirst ? place + 1 : count;
    const shiftMs = isFirst ? -this.pauseMs : this.getShiftMs(now);
    return Math.max(LEAST_WAIT_MS, Math.round(turnMs * turns + shiftMs));
  }

  private getShiftMs(now: number): number {
    const behindMs = now - this.toldAt;
    return Math.max(-this.turnMs, this.turnMs - behindMs) * SHIFT_PART;
  }
}
