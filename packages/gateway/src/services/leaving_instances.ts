/**
 * Instances of endpoints that are or were leaving. They get no new work even if
 * a restored store lists them as ready again.
 */

/** How this host learned that an endpoint is leaving. */
export type LeavingSource = 'answer' | 'entry';

/** The maximum number of instances, some 2 MB; the oldest are evicted. */
const MAX_INSTANCES = 20_000;

/** A bounded set of instance ids. */
export class LeavingInstances {
  private readonly instanceIds = new Set<string>();

  add(instanceId: string): void {
    this.instanceIds.add(instanceId);
    const [oldest = ''] = this.instanceIds;
    if (this.instanceIds.size > MAX_INSTANCES) this.instanceIds.delete(oldest);
  }

  has(instanceId: string): boolean {
    return this.instanceIds.has(instanceId);
  }
}
