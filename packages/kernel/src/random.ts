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
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = random.getInt(last + 1);
    const [a, b] = [shuffled[last], shuffled[other]];
    if (a === undefined || b === undefined) continue;
    shuffled[last] = b;
    shuffled[other] = a;
  }
  return shuffled;
}
