/**
 * Which changes ride on the next datagram. Each change is told to a few more
 * hosts than the doubling of those who know it takes; those told least often
 * go first, so that news is not held up by what is nearly known to all.
 */

/**
 * How often a change is told for each doubling of the number of hosts. Each
 * host that knows it tells it so often: 16 times with 195 hosts, which leaves a
 * host out with a chance of e^-16; what is missed shows in the hash of the
 * records.
 */
const SENDS_PER_DOUBLING = 2;

/** The changes that are still told, by the name of the host. */
export class GossipQueue {
  private readonly sends = new Map<string, number>();

  /** Takes it that there is something new to tell of a host. */
  add(name: string): void {
    this.sends.set(name, 0);
  }

  /** Takes it that there is nothing to tell of a host any more. */
  drop(name: string): void {
    this.sends.delete(name);
  }

  get size(): number {
    return this.sends.size;
  }

  /**
   * Takes the changes of one datagram.
   *
   * @param room What fits, in the unit of `getSize`.
   * @param hostCount The hosts of the deployment, this one included.
   */
  take(
    room: number,
    hostCount: number,
    getSize: (name: string) => number,
  ): string[] {
    if (this.sends.size === 0) return [];
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(hostCount + 1));
    const sorted = [...this.sends].sort((a, b) => a[1] - b[1]);
    const taken: string[] = [];
    let left = room;
    for (const [name, count] of sorted) {
      left -= getSize(name);
      if (left < 0) break;
      taken.push(name);
      if (count + 1 >= limit) this.sends.delete(name);
      else this.sends.set(name, count + 1);
    }
    return taken;
  }
}
