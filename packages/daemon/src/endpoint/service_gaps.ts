/**
 * What a host knows of the pace of a service's engines together. It stands in
 * for an engine that this host knows too little of, and says how long a first
 * token may take.
 */
import {
  computeFirstTokenLimit,
  GapStatistics,
  type StallBounds,
  type StallLimits,
} from '@irisdock/decisions';

const MIN_GAPS = 32;
const MIN_FIRST_TOKENS = 8;
/** The same for an answer that is resumed: its caller waits. */
const MIN_FIRST_TOKENS_RESUMING = 1;
/** The wait of a resumed answer while nothing is known, in least waits. */
const UNKNOWN_LEASTS = 2;
const CHARS_PER_SIZE = 4000;

/** A wait for the first token of a stream. */
export interface FirstTokenWait {
  /** Characters that the engine reads before it. */
  readonly promptChars: number;
  /** Whether the answer began before. */
  readonly isResuming: boolean;
  /** Bounds on the limit, in milliseconds. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** The pace of one service's engines. */
export class ServiceGaps {
  private readonly gaps = new GapStatistics();
  private readonly firstTokens = new GapStatistics();

  /** Takes a gap between tokens of any of the engines. */
  recordGap(gapMs: number): void {
    this.gaps.record(gapMs);
  }

  /** Takes the wait for a first token; long prompts may take longer. */
  recordFirstToken(waitMs: number, promptChars: number): void {
    this.firstTokens.record(waitMs / getSize(promptChars));
  }

  /** Gives an engine's limits, or those of all while it is little known. */
  getLimits(own: GapStatistics, bounds: StallBounds): StallLimits {
    const known = own.count >= MIN_GAPS ? own : this.gaps;
    return known.getLimits(bounds);
  }

  /**
   * Gives the longest wait for a first token, in milliseconds. A resumed
   * answer is given less while little is known: its caller sees a stream that
   * stands still, and what it had is not lost by going on elsewhere.
   */
  getFirstTokenLimit(wait: FirstTokenWait): number {
    const {promptChars, isResuming, minMs: leastMs, maxMs: mostMs} = wait;
    const least = isResuming ? MIN_FIRST_TOKENS_RESUMING : MIN_FIRST_TOKENS;
    const isKnown = this.firstTokens.count >= least;
    const usual = isKnown ? this.firstTokens.getUpperBoundMs() : undefined;
    const unknownMs = isResuming ? leastMs * UNKNOWN_LEASTS : mostMs;
    const longestMs = usual === undefined ? unknownMs : mostMs;
    const sized =
      usual === undefined ? undefined : usual * getSize(promptChars);
    return computeFirstTokenLimit(sized, leastMs, Math.min(mostMs, longestMs));
  }
}

function getSize(promptChars: number): number {
  return 1 + promptChars / CHARS_PER_SIZE;
}
