/**
 * Decides when a host asks its seeds for the hosts that they know. Knowing some
 * other host is not enough: hosts that start at the same time may form groups
 * that each know only themselves. So unknown seeds are asked again, with
 * exponential backoff, as they may be gone for good.
 */
import {getShuffled, type Random} from '@irisdock/kernel';

/** Heartbeats between two attempts while no other host is known. */
const MIN_INTERVAL = 5;
/** The maximum number of heartbeats between two attempts. */
const MAX_INTERVAL = 80;

/** Chooses which seed is asked in which heartbeat. */
export class SeedSchedule {
  private heartbeat = 0;
  /** The heartbeat in which a seed is asked next. */
  private nextHeartbeat = 1;
  private interval = MIN_INTERVAL;

  constructor(
    private readonly random: Random,
    private seeds: readonly string[],
  ) {}

  /** Replaces the seeds; one of them is asked in the next heartbeat. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.interval = MIN_INTERVAL;
    this.nextHeartbeat = this.heartbeat;
  }

  /**
   * Chooses the seed to ask in this heartbeat, if any.
   *
   * @param known The addresses of the known hosts, including this one.
   */
  chooseNext(known: readonly string[]): string | undefined {
    this.heartbeat++;
    const isAlone = known.length <= 1;
    if (isAlone) this.interval = MIN_INTERVAL;
    this.nextHeartbeat = Math.min(
      this.nextHeartbeat,
      this.heartbeat + this.interval,
    );
    if (this.heartbeat < this.nextHeartbeat) return undefined;
    const unknown = this.seeds.filter((seed) => !known.includes(seed));
    const [seed] = getShuffled(unknown, this.random);
    if (seed === undefined) return undefined;
    this.nextHeartbeat = this.heartbeat + this.interval;
    this.interval = Math.min(MAX_INTERVAL, this.interval * 2);
    return seed;
  }
}
