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
const CHARS_PER_SIZE = 4000;

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

  /** Gives the longest wait for a first token, in milliseconds. */
  getFirstTokenLimit(
    promptChars: number,
    leastMs: number,
    mostMs: number,
  ): number {
    const isKnown = this.firstTokens.count >= MIN_FIRST_TOKENS;
    const usual = isKnown ? this.firstTokens.getUsual() : undefined;
    const sized =
      usual === undefined ? undefined : usual * getSize(promptChars);
    return computeFirstTokenLimit(sized, leastMs, mostMs);
  }
}

function getSize(promptChars: number): number {
  return 1 + promptChars / CHARS_PER_SIZE;
}
