/**
 * Statistics of token gaps and first-token latency over all engines of a
 * service. They stand in for the statistics of an engine with too few samples
 * and yield the time limit for a first token.
 */
import {
  computeFirstTokenLimit,
  GapStatistics,
  type StallBounds,
  type StallLimits,
} from '@irisdock/decisions';

/** Gaps of an engine from which on its own statistics are used. */
const MIN_GAPS = 32;
/** First tokens of a service from which on its statistics are used. */
const MIN_FIRST_TOKENS = 8;
/** The same for a resumed answer, whose caller is already waiting. */
const MIN_FIRST_TOKENS_RESUMED = 1;
/** Time limit of a resumed answer without samples, as a multiple of `minMs`. */
const UNKNOWN_LIMIT_FACTOR = 2;
/** Prompt length that adds the latency of an empty prompt once more. */
const CHARS_PER_PROMPT_UNIT = 4000;

/** A wait for the first token of a stream. */
export interface FirstTokenWait {
  /** Characters that the engine processes before the first token. */
  readonly promptChars: number;
  /** Whether a started answer is resumed. */
  readonly isResuming: boolean;
  /** Bounds of the time limit, in milliseconds. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** Token latency statistics of one service's engines. */
export class ServiceGaps {
  private readonly gaps = new GapStatistics();
  private readonly firstTokens = new GapStatistics();

  /** Records a gap between two tokens of any of the engines. */
  recordGap(gapMs: number): void {
    this.gaps.record(gapMs);
  }

  /** Records a first token's latency, normalized by the prompt's length. */
  recordFirstToken(waitMs: number, promptChars: number): void {
    this.firstTokens.record(waitMs / getPromptFactor(promptChars));
  }

  /** Returns an engine's limits, or the service's if it has too few gaps. */
  getLimits(own: GapStatistics, bounds: StallBounds): StallLimits {
    const gaps = own.count >= MIN_GAPS ? own : this.gaps;
    return gaps.getLimits(bounds);
  }

  /**
   * Returns the time limit for a first token, in milliseconds. Without enough
   * samples it is shorter for a resumed answer: its caller is watching a stalled
   * stream, and continuing on another engine loses none of the answer.
   */
  getFirstTokenLimit(wait: FirstTokenWait): number {
    const {promptChars, isResuming, minMs, maxMs} = wait;
    const minSamples = isResuming ? MIN_FIRST_TOKENS_RESUMED : MIN_FIRST_TOKENS;
    const isKnown = this.firstTokens.count >= minSamples;
    const upperBoundMs = isKnown
      ? this.firstTokens.getUpperBoundMs()
      : undefined;
    const unknownMs = isResuming ? minMs * UNKNOWN_LIMIT_FACTOR : maxMs;
    const limitMs = upperBoundMs === undefined ? unknownMs : maxMs;
    const expectedMs =
      upperBoundMs === undefined
        ? undefined
        : upperBoundMs * getPromptFactor(promptChars);
    return computeFirstTokenLimit(expectedMs, minMs, Math.min(maxMs, limitMs));
  }
}

function getPromptFactor(promptChars: number): number {
  return 1 + promptChars / CHARS_PER_PROMPT_UNIT;
}
