/**
 * Computes how long a stream may be silent, from the recent gaps between tokens
 * of its endpoint. After `probeMs` without a token the endpoint is probed;
 * after `lostMs` the stream is lost even if the endpoint answers. See
 * docs/design/stalls.md.
 */

/** The limits of a stream, in milliseconds. */
export interface StallLimits {
  readonly probeMs: number;
  readonly lostMs: number;
}

/** Bounds on the limits, in milliseconds. */
export interface StallBounds {
  readonly minProbeMs: number;
  readonly maxProbeMs: number;
  readonly minLostMs: number;
  readonly maxLostMs: number;
}

/** The default bounds. */
export const DEFAULT_STALL_BOUNDS: StallBounds = {
  minProbeMs: 150,
  maxProbeMs: 700,
  minLostMs: 1500,
  maxLostMs: 2500,
};

/** The weight of a new gap in the moving averages. */
const GAP_WEIGHT = 1 / 64;
/** Mean deviations above the mean up to which a gap is usual. */
const DEVIATIONS = 6;
/** `lostMs` as a multiple of the usual gap. */
const LOST_FACTOR = 4;
/** The longest wait for a first token as a multiple of the usual one. */
const FIRST_TOKEN_FACTOR = 3;

/** Moving statistics of the gaps between tokens, or of waits for first ones. */
export class GapStatistics {
  private mean: number | undefined;
  /** The mean absolute deviation. */
  private deviation = 0;
  private recorded = 0;

  /** The number of recorded gaps. */
  get count(): number {
    return this.recorded;
  }

  /** Records a gap. */
  record(gapMs: number): void {
    this.recorded++;
    if (this.mean === undefined) {
      this.mean = gapMs;
      this.deviation = gapMs / 2;
      return;
    }
    const difference = gapMs - this.mean;
    this.mean += GAP_WEIGHT * difference;
    this.deviation += GAP_WEIGHT * (Math.abs(difference) - this.deviation);
  }

  /** Returns the upper bound of usual gaps; undefined before the first gap. */
  getUpperBoundMs(): number | undefined {
    if (this.mean === undefined) return undefined;
    return this.mean + DEVIATIONS * this.deviation;
  }

  /** Returns the limits; the widest ones before the first gap. */
  getLimits(bounds: StallBounds): StallLimits {
    if (this.mean === undefined) {
      return {probeMs: bounds.maxProbeMs, lostMs: bounds.maxLostMs};
    }
    const usual = this.getUpperBoundMs() ?? 0;
    const probeMs = clamp(usual, bounds.minProbeMs, bounds.maxProbeMs);
    const lostMs = clamp(
      usual * LOST_FACTOR,
      bounds.minLostMs,
      bounds.maxLostMs,
    );
    return {probeMs, lostMs};
  }
}

/**
 * Computes the longest wait for a first token, in milliseconds: a multiple of
 * the usual wait within the bounds.
 *
 * @param usualMs The upper bound of usual waits; undefined before the first.
 */
export function computeFirstTokenLimit(
  usualMs: number | undefined,
  minMs: number,
  maxMs: number,
): number {
  if (usualMs === undefined) return maxMs;
  return clamp(usualMs * FIRST_TOKEN_FACTOR, minMs, maxMs);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
