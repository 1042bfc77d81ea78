/**
 * How long a stream may be silent before it is looked into. The limit follows
 * the token gaps that this endpoint has had: after `probeMs` of silence the
 * endpoint is asked whether it answers at all; after `lostMs` the stream is
 * lost whatever the endpoint says. docs/design/stalls.md.
 */

/** The two limits, in milliseconds. */
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

/** The bounds unless settings say otherwise. */
export const DEFAULT_STALL_BOUNDS: StallBounds = {
  minProbeMs: 150,
  maxProbeMs: 700,
  minLostMs: 1500,
  maxLostMs: 2500,
};

const MEAN_WEIGHT = 1 / 64;
const DEVIATIONS = 6;
const LOST_FACTOR = 4;
const FIRST_TOKEN_FACTOR = 3;

/** Gaps between tokens, or waits for first ones. */
export class GapStatistics {
  private mean: number | undefined;
  private deviation = 0;
  private recorded = 0;

  /** How many gaps were recorded. */
  get count(): number {
    return this.recorded;
  }

  /** Takes one gap between tokens, in milliseconds. */
  record(gapMs: number): void {
    this.recorded++;
    if (this.mean === undefined) {
      this.mean = gapMs;
      this.deviation = gapMs / 2;
      return;
    }
    const difference = gapMs - this.mean;
    this.mean += MEAN_WEIGHT * difference;
    this.deviation += MEAN_WEIGHT * (Math.abs(difference) - this.deviation);
  }

  /** Gives what few gaps exceed; undefined before the first. */
  getUpperBoundMs(): number | undefined {
    if (this.mean === undefined) return undefined;
    return this.mean + DEVIATIONS * this.deviation;
  }

  /** Gives the limits; the widest ones before the first gap is known. */
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
 * Gives the longest wait for a first token, in milliseconds: a few times what
 * is usual, and the longest one before anything is known.
 *
 * @param usualMs Mean and deviations of the waits so far.
 */
export function computeFirstTokenLimit(
  usualMs: number | undefined,
  leastMs: number,
  mostMs: number,
): number {
  if (usualMs === undefined) return mostMs;
  return clamp(usualMs * FIRST_TOKEN_FACTOR, leastMs, mostMs);
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
