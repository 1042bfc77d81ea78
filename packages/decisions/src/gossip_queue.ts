/**
 * Selects the updates that are piggybacked on the next datagram. Every host
 * sends an update a limited number of times, which grows with the logarithm of
 * the number of hosts. Updates sent least often go first, so that new ones do
 * not wait behind those that nearly all hosts know.
 */

/**
 * How often a host sends an update for each doubling of the number of hosts.
 * With 195 hosts that is 16 times, which leaves a host out with a probability
 * of e^-16. A missed update shows in the hash of the records.
 */
const SENDS_PER_DOUBLING = 2;

/** The updates that still have to be sent, by the name of the host. */
export class GossipQueue {
  /** How often each update was sent so far. */
  private readonly sends = new Map<string, number>();

  /** Adds an update about a host, in place of an older one. */
  add(name: string): void {
    this.sends.set(name, 0);
  }

  /** Removes the update about a host. */
  drop(name: string): void {
    this.sends.delete(name);
  }

  /** The number of updates that still have to be sent. */
  get size(): number {
    return this.sends.size;
  }

  /**
   * Takes the updates for one datagram; returns the names of their hosts.
   *
   * @param maxSize The available space, in the unit of `getSize`.
   * @param hostCount The number of hosts of the deployment, this one included.
   */
  take(
    maxSize: number,
    hostCount: number,
    getSize: (name: string) => number,
  ): string[] {
    if (this.sends.size === 0) return [];
    const maxSends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(hostCount + 1));
    const sorted = [...this.sends].sort((a, b) => a[1] - b[1]);
    const taken: string[] = [];
    let remaining = maxSize;
    for (const [name, count] of sorted) {
      remaining -= getSize(name);
      if (remaining < 0) break;
      taken.push(name);
      if (count + 1 >= maxSends) this.sends.delete(name);
      else this.sends.set(name, count + 1);
    }
    return taken;
  }
}
