/**
 * Which harmless events come when, drawn from a seed. They overlap with each
 * other and with faults, and come in series; no request may end for them.
 */
import type {Random} from '@irisdock/kernel';

/** Each kind of harmless event. */
export const HARMLESS_KINDS = [
  'engines silent',
  'engine domain silent',
  'plain endpoints silent',
  'plain domain silent',
  'hosts told to reread',
  'configuration changed in series',
] as const;

/** What happens. */
export type HarmlessKind = (typeof HARMLESS_KINDS)[number];

/** One event. */
export interface HarmlessEvent {
  readonly kind: HarmlessKind;
  /** From the start of the play, in ms. */
  readonly at: number;
  readonly forMs: number;
  /** Picks the failure domain. */
  readonly target: number;
}

const LEAST_EVENTS = 5;
const MORE_EVENTS = 5;
/** Events come for so long after the faults, in ms. */
const LONGER_MS = 3000;
/** A sound endpoint may be silent for so long, in ms. */
const LEAST_MS = 300;
const MOST_MS = 2000;
/** One in so many events is a series of the same kind. */
const SERIES_ONE_IN = 2;
const SERIES_LENGTH = 3;
const LEAST_GAP_MS = 100;
const MOST_GAP_MS = 1000;
const MANY_TARGETS = 1024;

/** Draws a plan beside faults over some time, sorted by time. */
export function planHarmless(
  random: Random,
  lengthMs: number,
): HarmlessEvent[] {
  const plan: HarmlessEvent[] = [];
  const events = LEAST_EVENTS + random.getInt(MORE_EVENTS);
  for (let drawn = 0; drawn < events; drawn++) {
    plan.push(...planSeries(random, lengthMs));
  }
  return plan.sort((a, b) => a.at - b.at);
}

function planSeries(random: Random, lengthMs: number): HarmlessEvent[] {
  const kind = HARMLESS_KINDS[random.getInt(HARMLESS_KINDS.length)];
  const first: HarmlessEvent = {
    kind: kind ?? 'engines silent',
    at: random.getInt(lengthMs + LONGER_MS),
    forMs: LEAST_MS + random.getInt(MOST_MS - LEAST_MS),
    target: random.getInt(MANY_TARGETS),
  };
  const gapMs = LEAST_GAP_MS + random.getInt(MOST_GAP_MS - LEAST_GAP_MS);
  const length = random.getInt(SERIES_ONE_IN) === 0 ? SERIES_LENGTH : 1;
  return Array.from({length}, (_, step) => ({
    ...first,
    at: first.at + step * gapMs,
    target: first.target + step,
  }));
}
