/**
 * How many endpoints a service's load needs. The need counts by its maximum
 * over some seconds and moves in levels that are a twentieth apart: it grows at
 * once and falls a level at a time, so that the noise of the load changes no
 * order.
 */

/** The load of a service over all hosts. */
export interface ServiceDemand {
  /** Requests that run or wait. */
  readonly inFlight: number;
  /** Tokens that streams and their standby copies occupy. */
  readonly expectedTokens: number;
  /** Prompt tokens that arrive per second. */
  readonly promptTokensPerSecond: number;
}

/** What one endpoint carries; undefined where it is unknown or not limited. */
export interface EndpointCapacity {
  readonly slots: number;
  readonly memoryTokens?: number | undefined;
  /** Prompt tokens that it reads per second while it does nothing else. */
  readonly promptTokensPerSecond?: number | undefined;
}

/**
 * The share of an engine's time for reading prompts. Above it, prompts wait for
 * each other and streams pause while prompts are read.
 */
export const MAX_PREFILL_SHARE = 0.45;
/** The shares of slots and memory that are used. */
const MAX_SLOT_SHARE = 0.7;
const MAX_MEMORY_SHARE = 0.75;

/** Computes how many endpoints a load needs; a fraction. */
export function computeNeed(
  demand: ServiceDemand,
  capacity: EndpointCapacity,
): number {
  const {slots, memoryTokens, promptTokensPerSecond} = capacity;
  const bySlots = demand.inFlight / (slots * MAX_SLOT_SHARE);
  const byMemory =
    demand.expectedTokens / ((memoryTokens ?? Infinity) * MAX_MEMORY_SHARE);
  const byPrefill =
    demand.promptTokensPerSecond /
    ((promptTokensPerSecond ?? Infinity) * MAX_PREFILL_SHARE);
  return Math.max(bySlots, byMemory, byPrefill);
}

/** The time over which the maximum of the need counts, in ms. */
const MAXIMUM_WINDOW_MS = 10_000;
/** How long the need is lower before the level falls, in ms. */
const FALL_DELAY_MS = 20_000;
/** The time between two falls of the level, in ms. */
const FALL_INTERVAL_MS = 10_000;
/** The ratio of one level to the next lower one. */
const LEVEL_RATIO = 1.05;

/** Follows the need of a service. */
export class NeedLevel {
  private readonly samples: {readonly need: number; readonly at: number}[] = [];

  private level: number;
  private fellAt = -Infinity;

  /**
   * @param need The need to begin with, in endpoints.
   * @param neededAt When the level was last needed; it does not fall at once.
   */
  constructor(
    need: number,
    private neededAt: number,
  ) {
    this.level = findLevel(need);
  }

  /** The need in endpoints. */
  get value(): number {
    return this.level;
  }

  /** Records the need as measured now. */
  record(need: number, now: number): void {
    this.samples.push({need, at: now});
    while ((this.samples[0]?.at ?? now) < now - MAXIMUM_WINDOW_MS) {
      this.samples.shift();
    }
    const highest = findLevel(
      Math.max(...this.samples.map((sample) => sample.need)),
    );
    if (highest > this.level) this.level = highest;
    const lower = findLowerLevel(this.level);
    // The level stays above the need when it falls. Without that distance, the
    // noise of 20 streams a second raised it again within 4 s.
    if (highest >= lower || highest > findLowerLevel(lower)) {
      this.neededAt = now;
      return;
    }
    if (now - this.neededAt < FALL_DELAY_MS) return;
    if (now - this.fellAt < FALL_INTERVAL_MS) return;
    this.level = lower;
    this.fellAt = now;
  }
}

/** Rounds a need up to the next level. */
function findLevel(need: number): number {
  let level = 1;
  while (level < need) level = findHigherLevel(level);
  return level;
}

function findHigherLevel(level: number): number {
  return Math.max(level + 1, Math.ceil(level * LEVEL_RATIO));
}

function findLowerLevel(level: number): number {
  let lower = 1;
  while (findHigherLevel(lower) < level) lower = findHigherLevel(lower);
  return lower;
}
