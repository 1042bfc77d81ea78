/**
 * Whom a host sends its heartbeats to where there are too many hosts for each
 * to get all: some hosts of its own failure domain, as bytes between domains
 * cost, and a few of others, so that the domains stay joined.
 */

/** A host that may get a heartbeat. */
export interface HeartbeatTarget {
  readonly failureDomain: string;
}

/** How many hosts get a heartbeat. */
export interface TargetCounts {
  readonly near: number;
  readonly far: number;
}

/**
 * Chooses targets. Where one side has too few hosts the other gets more.
 *
 * @param shuffled All others, in random order.
 */
export function chooseHeartbeatTargets<T extends HeartbeatTarget>(
  shuffled: readonly T[],
  ownDomain: string,
  counts: TargetCounts,
): T[] {
  const near: T[] = [];
  const far: T[] = [];
  for (const target of shuffled) {
    if (target.failureDomain === ownDomain) near.push(target);
    else far.push(target);
  }
  const all = counts.near + counts.far;
  const fromNear = Math.min(
    near.length,
    Math.max(counts.near, all - far.length),
  );
  const fromFar = Math.min(far.length, all - fromNear);
  return [...near.slice(0, fromNear), ...far.slice(0, fromFar)];
}
