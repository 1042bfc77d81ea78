/** Which faults come when, drawn from a seed; faults overlap and repeat. */
import type {Random} from '@irisdock/kernel';

/** Each kind of fault, and what it is carried out on. */
export const FAULT_KINDS = {
  'host killed': 'host',
  'host stopped': 'host',
  'host paused': 'host',
  'host told to reread': 'host',
  'hosts killed together': 'host',
  'host links cut': 'host',
  'host links cut one way': 'host',
  'store link silent': 'store link',
  'store link reset': 'store link',
  'store link one way': 'store link',
  'store unavailable': 'store',
  'store silent': 'store',
  'store slow': 'store',
  'store loses answers': 'store',
  'store forgets': 'store',
  'caller link reset': 'caller link',
  'caller link slow': 'caller link',
  'endpoint crashed': 'endpoint',
  'endpoint silent': 'endpoint',
  'endpoint link reset': 'endpoint',
  'endpoint link one way': 'endpoint',
  'endpoint replaced': 'endpoint',
  'failure domain crashed': 'endpoint',
  'configuration changed': 'configuration',
} as const;

/** What a fault does. */
export type FaultKind = keyof typeof FAULT_KINDS;

/** All kinds, in the order in which a seed's numbers mean them. */
export const ALL_FAULT_KINDS = Object.keys(FAULT_KINDS) as readonly FaultKind[];

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
      kind: chooseKind(random),
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

function chooseKind(random: Random): FaultKind {
  const at = random.getInt(ALL_FAULT_KINDS.length);
  return ALL_FAULT_KINDS[at] ?? 'host killed';
}
