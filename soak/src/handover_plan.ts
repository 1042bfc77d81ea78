/**
 * When engines are silent while others, which would take over, fail new
 * streams, drawn from a seed. Such events come in series and overlap.
 */
import type {Random} from '@irisdock/kernel';
import {
  STREAM_FAULTS,
  type StreamFault,
} from '@irisdock/users-platform/fixtures';
import {SILENCE_KINDS, type SilenceKind} from './endpoint_silences.js';

/** One event. */
export interface HandoverEvent {
  readonly kind: `engines ${SilenceKind}, others ${StreamFault}`;
  readonly silence: SilenceKind;
  readonly streamFault: StreamFault;
  /** From the start of the play, in ms. */
  readonly at: number;
  readonly forMs: number;
  /** Picks the failure domain of the silent engines. */
  readonly target: number;
  /** Whether one more failure domain stays sound. */
  readonly hasSound: boolean;
}

const LEAST_EVENTS = 2;
const MORE_EVENTS = 3;
/** How long a sound engine is silent, in ms. */
const LEAST_MS = 300;
const MOST_MS = 2000;
/** One in so many events is a series. */
const SERIES_ONE_IN = 2;
const SERIES_LENGTH = 3;
const LEAST_GAP_MS = 100;
const MOST_GAP_MS = 1500;
const MANY_TARGETS = 1024;
/** One in so many events leaves a failure domain sound. */
const SOUND_ONE_IN = 3;

/** Draws a plan over some time, sorted by time. */
export function planHandovers(
  random: Random,
  lengthMs: number,
): HandoverEvent[] {
  const plan: HandoverEvent[] = [];
  const events = LEAST_EVENTS + random.getInt(MORE_EVENTS);
  for (let drawn = 0; drawn < events; drawn++) {
    const gapMs = LEAST_GAP_MS + random.getInt(MOST_GAP_MS - LEAST_GAP_MS);
    const length = random.getInt(SERIES_ONE_IN) === 0 ? SERIES_LENGTH : 1;
    const firstAt = random.getInt(lengthMs);
    for (let step = 0; step < length; step++) {
      plan.push(planEvent(random, firstAt + step * gapMs));
    }
  }
  return plan.sort((a, b) => a.at - b.at);
}

function planEvent(random: Random, at: number): HandoverEvent {
  const silence = choose(random, SILENCE_KINDS);
  const streamFault = choose(random, STREAM_FAULTS);
  return {
    kind: `engines ${silence}, others ${streamFault}`,
    silence,
    streamFault,
    at,
    forMs: LEAST_MS + random.getInt(MOST_MS - LEAST_MS),
    target: random.getInt(MANY_TARGETS),
    hasSound: random.getInt(SOUND_ONE_IN) === 0,
  };
}

function choose<T>(random: Random, values: readonly [T, ...T[]]): T {
  return values[random.getInt(values.length)] ?? values[0];
}
