/**
 * Ordinary endpoints in place of spot endpoints that are missing: only as many
 * as the need lacks without them, as they are dear and take seconds to boot.
 */
import {
  countEndpoints,
  getDomainCounts,
  type DomainCounts,
  type PoolOrder,
  type ScalingLimits,
} from './scaling_model.js';
import {isSamePool, type ScalingPools} from './scaling_pools.js';

interface CoveredDomain {
  readonly domain: string;
  ordinary: number;
  readonly spot: number;
  /** The most ordinary endpoints beside the spot endpoints. */
  readonly room: number;
  /** Whether more may be ordered now. */
  readonly isOpen: boolean;
}

/** What is known when the cover is planned. */
export interface CoverInput {
  readonly pools: ScalingPools;
  readonly need: number;
  readonly limits: ScalingLimits;
  /** The mix that is aimed at. */
  readonly wanted: readonly DomainCounts[];
  /** Orders that are about to be sent, which count as accepted. */
  readonly orders: readonly PoolOrder[];
  readonly now: number;
}

/** Plans the ordinary endpoints of each domain, at least those in force. */
export function planCover(input: CoverInput): DomainCounts[] {
  const {pools, orders, wanted, need} = input;
  const coming = pools.listCounts((pool) => {
    const order = orders.find((entry) => isSamePool(entry, pool.key));
    return order?.count ?? pool.coming;
  });
  const cover = wanted.map(({domain, ordinary}) => {
    const {spot} = getDomainCounts(coming, domain);
    return createCovered(input, domain, ordinary, spot);
  });
  while (countEndpoints(cover) < need) {
    const least = findSmallest(cover);
    if (least === undefined) break;
    least.ordinary++;
  }
  return cover;
}

function createCovered(
  {pools, limits, orders, now}: CoverInput,
  domain: string,
  wanted: number,
  spot: number,
): CoveredDomain {
  const pool = pools.getPool(domain, 'ordinary');
  const room = pools.computeRoom(pool.key, limits, orders);
  const ordinary = Math.max(wanted, pool.count);
  return {domain, ordinary, spot, room, isOpen: pool.isAskable(now)};
}

function findSmallest(
  cover: readonly CoveredDomain[],
): CoveredDomain | undefined {
  let smallest: CoveredDomain | undefined;
  let least = Infinity;
  for (const entry of cover) {
    const total = entry.ordinary + entry.spot;
    if (!entry.isOpen || entry.ordinary >= entry.room || total >= least) {
      continue;
    }
    smallest = entry;
    least = total;
  }
  return smallest;
}
