/** Computes the Retry-After of refused requests. */
import type {Random} from '@irisdock/kernel';
import {getRandomFraction} from './serving_parts.js';

/**
 * Callers retry only if the delay is below a third of the time that they have
 * left, and small calls have one second in all.
 */
const MIN_SECONDS = 0.05;
const SPREAD_SECONDS = 0.15;
const MS_PER_SECOND = 1000;

/** Returns the seconds for a caller whose retry was planned, in ms from now. */
export function formatRetryAfter(returnMs: number, random: Random): number {
  const spreadSeconds = MIN_SECONDS * getRandomFraction(random);
  const seconds =
    Math.max(MIN_SECONDS, returnMs / MS_PER_SECOND) + spreadSeconds;
  return Math.round(seconds * MS_PER_SECOND) / MS_PER_SECOND;
}

/** Returns the seconds, randomized so that callers don't all retry at once. */
export function decideRetryAfter(random: Random): number {
  const seconds = MIN_SECONDS + SPREAD_SECONDS * getRandomFraction(random);
  return Math.round(seconds * MS_PER_SECOND) / MS_PER_SECOND;
}
