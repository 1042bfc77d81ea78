/**
 * How near two failure domains are to each other: the same domain, another
 * domain of the same region, or elsewhere. Bytes between regions cost several
 * times as much as bytes between the domains of a region, so everything that
 * chooses among hosts or engines by place asks this module. Without regions
 * all domains belong to one, and nothing is elsewhere.
 * docs/design/regions.md.
 */

/** The distance between two failure domains. */
export type Proximity = 'domain' | 'region' | 'elsewhere';

/** Something in a failure domain. */
export interface Located {
  readonly failureDomain: string;
}

/** Items by their distance from one failure domain. */
export interface ItemsByProximity<T> {
  readonly domain: readonly T[];
  /** In other domains of the same region. */
  readonly region: readonly T[];
  /** In other regions. */
  readonly elsewhere: readonly T[];
}

/** The regions of the failure domains. */
export class RegionMap {
  /** Whether there is more than one region. */
  readonly hasSeveral: boolean;

  /** @param regions The region of each failure domain. */
  constructor(private readonly regions: ReadonlyMap<string, string>) {
    this.hasSeveral = new Set(regions.values()).size > 1;
  }

  /** Finds the region of a domain. */
  find(failureDomain: string): string | undefined {
    return this.regions.get(failureDomain);
  }

  /**
   * Whether two domains belong to one region. A domain whose region is not
   * known belongs to none of the others.
   */
  isSameRegion(one: string, other: string): boolean {
    if (!this.hasSeveral || one === other) return true;
    const region = this.regions.get(one);
    return region !== undefined && region === this.regions.get(other);
  }

  /** Computes the distance between two domains. */
  computeProximity(one: string, other: string): Proximity {
    if (one === other) return 'domain';
    return this.isSameRegion(one, other) ? 'region' : 'elsewhere';
  }

  /** Splits items by their distance from a domain, keeping their order. */
  splitByProximity<T>(
    items: Iterable<T>,
    failureDomain: string,
    getDomain: (item: T) => string,
  ): ItemsByProximity<T> {
    const split = {domain: [], region: [], elsewhere: []} as Record<
      Proximity,
      T[]
    >;
    for (const item of items) {
      split[this.computeProximity(failureDomain, getDomain(item))].push(item);
    }
    return split;
  }
}

/** All domains in one region. */
export const SINGLE_REGION = new RegionMap(new Map());

/** Where a host is, and how far other domains are from it. */
export class HostPosition {
  constructor(
    readonly failureDomain: string,
    readonly regions: RegionMap,
  ) {}

  /** Whether there is more than one region. */
  get hasSeveralRegions(): boolean {
    return this.regions.hasSeveral;
  }

  /** Whether a domain belongs to the region of this host. */
  isNear(failureDomain: string): boolean {
    return this.regions.isSameRegion(this.failureDomain, failureDomain);
  }

  /** Splits items into those of this host's region and others. */
  splitByRegion<T extends Located>(
    items: Iterable<T>,
  ): {readonly near: readonly T[]; readonly far: readonly T[]} {
    const near: T[] = [];
    const far: T[] = [];
    for (const item of items) {
      (this.isNear(item.failureDomain) ? near : far).push(item);
    }
    return {near, far};
  }
}
