/** When a refused caller is told to come back. */
import type {Random} from '@irisdock/kernel';
import {getRandomFraction} from './serving_parts.js';

/**
 * Callers come back only when this is below a third of the time that they
 * have left; small calls have one second in all.
 */
const LEAST_SECONDS = 0.05;
const SPREAD_SECONDS = 0.15;
const MILLI = 1000;

/** Gives the seconds for a caller whose return was planned, in ms from now. */
export function formatRetryAfter(returnMs: number, random: Random): number {
  const spreadSeconds = LEAST_SECONDS * getRandomFraction(random);
  const seconds = Math.max(LEAST_SECONDS, returnMs / MILLI) + spreadSeconds;
  return Math.round(seconds * MILLI) / MILLI;
}

/** Gives the seconds, spread so that callers do not come back all at once. */
export function decideRetryAfter(random: Random): number {
  const seconds = LEAST_SECONDS + SPREAD_SECONDS * getRandomFraction(random);
  return Math.round(seconds * MILLI) / MILLI;
}
