/**
 * Which hosts have told of a newer change of a table, and whom of them to ask
 * for it: who told last, as it is the likeliest to be there; nobody twice who
 * did not answer, unless it tells again.
 */

/** Sources that are kept; who told first is forgotten. */
const MAX_SOURCES = 8;

/** The hosts that have a newer change. */
export class UpdateSources {
  /** The newest change told, by address; who told last stands last. */
  private readonly told = new Map<string, number>();

  /** Whether anybody told of a change beyond the one held. */
  hasUpdate(held: number): boolean {
    return this.choose(held, new Set()) !== undefined;
  }

  /** Takes it that the host at an address has changes up to a revision. */
  recordAnnouncement(address: string, revision: number): void {
    this.told.delete(address);
    this.told.set(address, revision);
    const [first] = this.told.keys();
    if (this.told.size > MAX_SOURCES && first !== undefined) {
      this.told.delete(first);
    }
  }

  /** Gives up to which revision a host told of changes; 0 for none. */
  getAnnounced(address: string): number {
    return this.told.get(address) ?? 0;
  }

  /** Forgets what a host told up to a revision: it was asked for that. */
  drop(address: string, revision: number): void {
    if (this.getAnnounced(address) <= revision) this.told.delete(address);
  }

  /**
   * Chooses whom to ask; undefined for nobody.
   *
   * @param held The newest change held.
   * @param asked The addresses that are being asked.
   */
  choose(held: number, asked: ReadonlySet<string>): string | undefined {
    let chosen: string | undefined;
    for (const [address, revision] of this.told) {
      if (revision > held && !asked.has(address)) chosen = address;
    }
    return chosen;
  }
}
