/**
 * Tracks which hosts announced a newer revision of a table and chooses the one
 * to fetch it from: the last to announce, as it is the most likely to be
 * reachable, but a host of another region only if none of the own region has
 * announced it. A host that didn't answer isn't asked again until it announces
 * anew.
 */

/** Sources to keep; the one that announced least recently is dropped first. */
const MAX_SOURCES = 8;

/** The hosts that announced revisions of a table. */
export class UpdateSources {
  /** The announced revisions by address, the latest announcement last. */
  private readonly announced = new Map<string, number>();

  /** @param isNear Whether the host at an address is in the own region. */
  constructor(
    private readonly isNear: (address: string) => boolean = () => true,
  ) {}

  /** Tells whether any host announced a revision above the held one. */
  hasUpdate(held: number): boolean {
    return this.choose(held, new Set()) !== undefined;
  }

  /** Records that a host announced changes up to a revision. */
  recordAnnouncement(address: string, revision: number): void {
    this.announced.delete(address);
    this.announced.set(address, revision);
    const [first] = this.announced.keys();
    if (this.announced.size > MAX_SOURCES && first !== undefined) {
      this.announced.delete(first);
    }
  }

  /** Returns the revision that a host announced; 0 without one. */
  getAnnounced(address: string): number {
    return this.announced.get(address) ?? 0;
  }

  /** Drops the announcement of a host that was asked for this revision. */
  drop(address: string, revision: number): void {
    if (this.getAnnounced(address) <= revision) this.announced.delete(address);
  }

  /**
   * Chooses the address to fetch from; undefined if there is none.
   *
   * @param held The highest revision that this host holds.
   * @param asked Addresses with a pending fetch.
   */
  choose(held: number, asked: ReadonlySet<string>): string | undefined {
    let chosen: string | undefined;
    let isChosenNear = false;
    for (const [address, revision] of this.announced) {
      if (revision <= held || asked.has(address)) continue;
      const isNear = this.isNear(address);
      if (isChosenNear && !isNear) continue;
      chosen = address;
      isChosenNear = isNear;
    }
    return chosen;
  }
}
