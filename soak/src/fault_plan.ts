/** Which faults come when, drawn from a seed; faults overlap and repeat. */
import type {Random} from '@irisdock/kernel';

/** What a fault does. */
export const FAULT_KINDS = [
  'host killed',
  'host stopped',
  'host paused',
  'host told to reread',
  'hosts killed together',
  'store link silent',
  'store link reset',
  'store link one way',
  'store unavailable',
  'store silent',
  'store slow',
  'store loses answers',
  'store forgets',
  'caller link reset',
  'caller link slow',
  'host links cut',
  'host links cut one way',
  'endpoint crashed',
  'endpoint silent',
  'endpoint link reset',
  'endpoint link one way',
  'endpoint replaced',
  'failure domain crashed',
  'configuration changed',
] as const;

/** What a fault does. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** From the start of the play, in ms. */
  readonly at: number;
  readonly forMs: number;
  /** Picks the host, endpoint or failure domain. */
  readonly target: number;
}

/** The time that faults are drawn over, and how many. */
export interface PlanOptions {
  readonly lengthMs: number;
  readonly faults: number;
}

const LEAST_MS = 200;
const MOST_MS = 3500;
/** One in so many faults is a series of the same kind. */
const SERIES_ONE_IN = 4;
const SERIES_LENGTH = 3;
const SERIES_GAP_MS = 400;
const MANY_TARGETS = 1024;

/** Draws a plan, sorted by time. */
export function planFaults(
  random: Random,
  options: PlanOptions,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  for (let drawn = 0; drawn < options.faults; drawn++) {
    const fault: PlannedFault = {
      kind: FAULT_KINDS[random.getInt(FAULT_KINDS.length)] ?? 'host killed',
      at: random.getInt(options.lengthMs),
      forMs: LEAST_MS + random.getInt(MOST_MS - LEAST_MS),
      target: random.getInt(MANY_TARGETS),
    };
    const isSeries = random.getInt(SERIES_ONE_IN) === 0;
    const length = isSeries ? SERIES_LENGTH : 1;
    for (let step = 0; step < length; step++) {
      const at = fault.at + step * SERIES_GAP_MS;
      plan.push({...fault, at, target: fault.target + step});
    }
  }
  return plan.sort((a, b) => a.at - b.at);
}
