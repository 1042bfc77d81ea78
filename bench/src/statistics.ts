/** Figures over samples. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Creates a histogram of whole numbers, such as milliseconds. */
export function createHistogram(): Histogram {
  return build({lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000});
}

/** Gives median, 95 in 100 and the worst of samples. */
export function computeSpread(samples: readonly number[]): {
  median: number;
  p95: number;
  worst: number;
} {
  const histogram = createHistogram();
  for (const sample of samples) {
    histogram.recordValue(Math.max(0, Math.round(sample)));
  }
  return {
    median: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    worst: histogram.maxValue,
  };
}

/** Rounds to so many digits after the point. */
export function formatNumber(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/** A line through points by least squares. */
export interface Line {
  readonly slope: number;
  readonly base: number;
}

/** Fits a line. */
export function computeLine(
  points: readonly (readonly [number, number])[],
): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let above = 0;
  let below = 0;
  for (const [x, y] of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  const slope = below === 0 ? 0 : above / below;
  return {slope, base: meanY - slope * meanX};
}

/** Jain's index of fairness: 1 is equal, 1/n is all to one. */
export function computeFairness(shares: readonly number[]): number {
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (shares.length * squares);
}
