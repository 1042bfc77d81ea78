/**
 * Staggers the long polls of the hosts that read the store, so that one of them
 * is answered in each turn and confirms that the replicas of all hosts are
 * current. A change answers all polls at once; the ranks then spread them
 * again. When ranks change, the answers are unevenly spaced at first, and each
 * reader shifts its next one towards one turn after that of another reader.
 */

/** A host's rank among the hosts that read the store for all. */
export interface ReaderRank {
  /** From 0; lower ranks read sooner after a change. */
  readonly rank: number;
  /** The number of readers. */
  readonly count: number;
}

/** The shortest wait of a long poll, in ms. */
const MIN_WAIT_MS = 50;
/** The fraction of its offset from its turn that the next poll corrects. */
const SHIFT_FRACTION = 0.5;

/** The poll timing of one reader. */
export class PollStagger {
  /** Whether the next poll is the first after a change, failure or new rank. */
  private isFirst = true;
  private pauseMs = 0;
  /** When another reader last got an answer from the store. */
  private peerAnsweredAt = -Infinity;

  /** @param turnMs The time between the answers to two readers, in ms. */
  constructor(private readonly turnMs: number) {}

  /** Records that another reader got an answer from the store. */
  recordPeerAnswer(at: number): void {
    this.peerAnsweredAt = Math.max(this.peerAnsweredAt, at);
  }

  /**
   * Starts a new cycle of all readers.
   *
   * @param pauseMs How long this reader pauses first.
   */
  startCycle(pauseMs: number): void {
    this.isFirst = true;
    this.pauseMs = pauseMs;
  }

  /** Returns the wait of the next poll, in whole ms as the store requires. */
  takePollWaitMs({rank, count}: ReaderRank, now: number): number {
    const {isFirst, turnMs} = this;
    this.isFirst = false;
    const turns = isFirst ? rank + 1 : count;
    const shiftMs = isFirst ? -this.pauseMs : this.getShiftMs(now);
    return Math.max(MIN_WAIT_MS, Math.round(turnMs * turns + shiftMs));
  }

  private getShiftMs(now: number): number {
    const behindMs = now - this.peerAnsweredAt;
    return Math.max(-this.turnMs, this.turnMs - behindMs) * SHIFT_FRACTION;
  }
}
