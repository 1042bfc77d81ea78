/** Random numbers, handed in so that a seed repeats a run. */
import {randomInt} from 'node:crypto';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** A whole number from 0 to `below` - 1. */
  getInt(below: number): number;
}

/** Random numbers from a seed; the same seed gives the same numbers. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  getInt(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }
}

/** Gives a seed that differs from process to process. */
export function createSeed(): number {
  return randomInt(2 ** 31);
}

/** Gives the list in random order, without changing it. */
export function getShuffled<T>(items: readonly T[], random: Random): T[] {
  return getSample(items, items.length, random);
}

/**
 * Gives some items drawn at random, each once, without changing the list.
 *
 * @param count How many; all of them if there are no more.
 */
export function getSample<T>(
  items: readonly T[],
  count: number,
  random: Random,
): T[] {
  const most = Math.min(count, items.length);
  if (most <= 0) return [];
  const drawn = [...items];
  for (let at = 0; at < most; at++) {
    const other = at + random.getInt(drawn.length - at);
    const [a, b] = [drawn[at], drawn[other]];
    if (a === undefined || b === undefined) continue;
    drawn[at] = b;
    drawn[other] = a;
  }
  return drawn.slice(0, most);
}
