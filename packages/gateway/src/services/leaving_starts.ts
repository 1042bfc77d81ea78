/**
 * Starts of endpoints that are or were leaving. They never get new work again,
 * also when their entries are gone and an older one comes back.
 */

/** Starts that are remembered; the oldest give way. Some 2 MB. */
const MAX_STARTS = 20_000;

/** The starts, by their instance ids. */
export class LeavingStarts {
  private readonly instanceIds = new Set<string>();

  add(instanceId: string): void {
    this.instanceIds.add(instanceId);
    const [oldest = ''] = this.instanceIds;
    if (this.instanceIds.size > MAX_STARTS) this.instanceIds.delete(oldest);
  }

  has(instanceId: string): boolean {
    return this.instanceIds.has(instanceId);
  }
}
