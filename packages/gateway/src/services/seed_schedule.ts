/**
 * When a host asks its seeds for what they know. That some host is heard is
 * not enough: hosts that start at the same time may form groups that each know
 * only themselves. So a seed that is not known is asked now and then, at first
 * often, later seldom, as it may be gone for good.
 */
import {getShuffled, type Random} from '@irisdock/kernel';

/** Beats between two tries while nobody is known. */
const FIRST_PAUSE = 5;
/** The most beats between two tries of seeds that do not answer. */
const MAX_PAUSE = 80;

/** The tries. */
export class SeedSchedule {
  private beat = 0;
  /** The beat at which a seed is tried next. */
  private nextBeat = 1;
  private pause = FIRST_PAUSE;

  constructor(
    private readonly random: Random,
    private seeds: readonly string[],
  ) {}

  /** Takes other seeds, and tries one at once. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.pause = FIRST_PAUSE;
    this.nextBeat = this.beat;
  }

  /**
   * Gives the seed that is asked in this beat, if any.
   *
   * @param known Where the hosts that are known answer, this one's included.
   */
  chooseNext(known: readonly string[]): string | undefined {
    this.beat++;
    const isAlone = known.length <= 1;
    if (isAlone) this.pause = FIRST_PAUSE;
    this.nextBeat = Math.min(this.nextBeat, this.beat + this.pause);
    if (this.beat < this.nextBeat) return undefined;
    const unknown = this.seeds.filter((seed) => !known.includes(seed));
    const [seed] = getShuffled(unknown, this.random);
    if (seed === undefined) return undefined;
    this.nextBeat = this.beat + this.pause;
    this.pause = Math.min(MAX_PAUSE, this.pause * 2);
    return seed;
  }
}
