/**
 * The platform of a play that scales the service of streams: endpoints come some
 * time after an order of more, drain and leave on an order of fewer, and the spot
 * endpoints of a failure domain are reclaimed together, with a notice.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@irisdock/kernel';
import {
  SOAK_SERVICES,
  type ApiCall,
  type ApiOrder,
  type SoakScaling,
  type StreamShape,
} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';
import {
  FIRST_ORDERED_PLACE,
  STREAM_SHAPE,
  type EndpointFleet,
} from './endpoint_fleet.js';
import type {Witness} from './witness.js';
import {ScalingWitness, type PlatformPool} from './scaling_witness.js';

/** A reclaim of the spot endpoints of a failure domain. */
export interface ReclaimEvent {
  readonly kind: `spot of ${string} reclaimed`;
  readonly failureDomain: string;
  /** From the start of the play, in ms. */
  readonly at: number;
}

/** One play in so many is scaled. */
const SCALED_ONE_IN = 3;
/**
 * Streams of scaled plays last 3.6 s, longer than the notice before their endpoint
 * ends, so that they have to move.
 */
const SCALED_SHAPE: StreamShape = {...STREAM_SHAPE, stepMs: 60};
/** With some 45 streams at once, 5 endpoints are needed. */
const SLOTS = 12;
/** The least maximum holds the mix for 5 endpoints. */
const LEAST_MAXIMUM = 4;
const MAXIMUM_SPREAD = 3;
const MINIMUM = 2;
const BOOT_MS = 1000;
/** An endpoint that leaves on an order ends after so long, in ms. */
const DRAIN_MS = 3000;
const NOTICE_MS = 2500;
/** No spot endpoints are to be had for so long after a reclaim, in ms. */
const SHORTAGE_MS = 4000;
/** The first reclaim comes when orders have been carried out, in ms. */
const FIRST_RECLAIM_MS = 4000;
const RECLAIMS = 2;
/** Streams that began after the faults run when the last reclaim comes, in ms. */
const CALM_RECLAIM_MS = 5000;
/**
 * What was ordered is there so long after the last shortage, in ms: a pause of an
 * order that was not answered (8 s), one of a pool that was refused (3 s), one
 * of a pool that lacks endpoints (the boot and 3 s), the boot itself, a takeover
 * of the task (2.4 s) and 2 s for a busy machine.
 */
const RESTORED_MS = 18_400 + 2 * BOOT_MS;
const CHECK_MS = 100;

interface Pool {
  readonly failureDomain: string;
  readonly isSpot: boolean;
  /** The number of the last order that was accepted; a reclaim keeps it. */
  ordered: number;
  /** The places of what is there, boots or crashed and will come back. */
  readonly places: Set<number>;
}

/** What is drawn of scaling for a play. */
export interface ScalingEvents {
  readonly scaling: SoakScaling;
  readonly reclaims: readonly ReclaimEvent[];
  readonly calmDomain: string;
}

/** How the endpoints of scaled plays serve. */
export const SCALED_FLEET = {shape: SCALED_SHAPE, slots: SLOTS};

/** Draws whether and how a play is scaled; undefined if it is not. */
export function planScaling(
  seed: number,
  lengthMs: number,
  failureDomains: readonly string[],
): ScalingEvents | undefined {
  // Not from the play's own numbers, which seeds stand for.
  const random = new SeededRandom(seed + 2 ** 28);
  const chooseDomain = (): string =>
    failureDomains[random.getInt(failureDomains.length)] ?? '';
  const maximum = LEAST_MAXIMUM + random.getInt(MAXIMUM_SPREAD);
  const reclaims = Array.from({length: RECLAIMS}, (): ReclaimEvent => {
    const failureDomain = chooseDomain();
    const kind = `spot of ${failureDomain} reclaimed` as const;
    const at = FIRST_RECLAIM_MS + random.getInt(lengthMs);
    return {kind, failureDomain, at};
  });
  const calmDomain = chooseDomain();
  if (random.getInt(SCALED_ONE_IN) !== 0) return undefined;
  const prices = failureDomains.map((domain, at) => [domain, 1 + at / 10]);
  const scaling = {
    minimum: MINIMUM,
    maximum,
    bootMs: BOOT_MS,
    slots: SLOTS,
    prices: Object.fromEntries(prices) as Record<string, number>,
  };
  return {scaling, reclaims, calmDomain};
}

/** The platform's side of scaling. */
export class ScalingPlayer {
  readonly witness: ScalingWitness;
  /** Orders that were accepted. */
  orders = 0;
  private readonly pools: readonly Pool[];
  private places = 0;
  private noSpotUntil = -Infinity;
  /** Whether the last reclaim has begun, while nothing else happens. */
  private isCalm = false;

  constructor(
    private readonly events: ScalingEvents,
    private readonly fleet: EndpointFleet,
    private readonly failureDomains: readonly string[],
    disturbances: Disturbances,
  ) {
    this.witness = new ScalingWitness(disturbances, events.scaling);
    this.pools = failureDomains.flatMap((failureDomain) =>
      [false, true].map((isSpot) => {
        const places = new Set<number>();
        return {failureDomain, isSpot, ordered: 0, places};
      }),
    );
  }

  /** The reclaims beside the faults. */
  get reclaims(): readonly ReclaimEvent[] {
    return this.events.reclaims;
  }

  /** Takes endpoints that are there before the first order, at places from one on. */
  addFirst(first: number, count: number): void {
    for (let place = first; place < first + count; place++) {
      const failureDomain =
        this.failureDomains[place % this.failureDomains.length] ?? '';
      const pool = this.findPool({failureDomain, isSpot: false});
      if (pool === undefined) continue;
      pool.places.add(place);
      pool.ordered++;
    }
  }

  /** Whether endpoints that an order asks for are to be had. */
  hasCapacity({isSpot, count, ...order}: ApiOrder): boolean {
    const pool = this.findPool({...order, isSpot});
    if (!isSpot || pool === undefined || count <= pool.places.size) return true;
    return performance.now() >= this.noSpotUntil;
  }

  /** Carries an order out if it was accepted. */
  handleCall(call: ApiCall): void {
    const {order, isAccepted} = call;
    if (order === undefined) return;
    const pool = this.findPool(order);
    if (pool === undefined || order.service !== SOAK_SERVICES.streams) {
      this.witness.faults.push(`an order of ${order.service} was sent`);
      return;
    }
    if (!isAccepted) return;
    this.orders++;
    this.witness.recordOrder(call, this.listPools(), performance.now());
    pool.ordered = order.count;
    while (pool.places.size < order.count) void this.startEndpoint(pool);
    for (const place of [...pool.places].slice(order.count)) {
      this.removeEndpoint(pool, place, DRAIN_MS);
    }
  }

  /** Takes it that an endpoint ends as it announced. */
  handleAnnouncedEnd(
    endpoint: string,
    attempts: Pick<Witness, 'isMovable'>,
  ): void {
    if (this.isCalm) this.witness.recordAnnouncedEnd(endpoint, attempts);
  }

  /** Reclaims spot endpoints beside the faults. */
  async runReclaims(): Promise<void> {
    await Promise.all(
      this.events.reclaims.map(async ({at, failureDomain}) => {
        await sleep(at);
        this.endSpot(failureDomain);
      }),
    );
  }

  /**
   * Reclaims a domain's spot endpoints after the faults, while nothing else
   * happens, and waits until everything that was ordered is there.
   */
  async runInCalm(): Promise<void> {
    await sleep(CALM_RECLAIM_MS);
    await this.waitRestored();
    // Faults may have kept the first order from being sent. A domain that got the
    // most ordinary endpoints meanwhile has none until those are given up.
    const until = performance.now() + RESTORED_MS;
    while (!this.hasSpot(this.events.calmDomain)) {
      if (performance.now() >= until) break;
      await sleep(CHECK_MS);
    }
    this.isCalm = true;
    this.endSpot(this.events.calmDomain);
    await this.waitRestored();
  }

  private hasSpot(failureDomain: string): boolean {
    const pools = this.listPools();
    return pools.some(
      (pool) =>
        pool.isSpot && pool.ready > 0 && pool.failureDomain === failureDomain,
    );
  }

  private async waitRestored(): Promise<void> {
    const until = Math.max(performance.now(), this.noSpotUntil) + RESTORED_MS;
    for (;;) {
      const now = performance.now();
      const missing = this.witness.listMissing(this.listPools(), now);
      if (now >= this.noSpotUntil && missing.length === 0) return;
      if (now >= until) {
        this.witness.faults.push(`not there in the end: ${missing.join('; ')}`);
        return;
      }
      await sleep(CHECK_MS);
    }
  }

  private endSpot(failureDomain: string): void {
    const now = performance.now();
    this.witness.recordReclaim(now);
    this.noSpotUntil = now + NOTICE_MS + SHORTAGE_MS;
    const pool = this.findPool({failureDomain, isSpot: true});
    for (const place of pool?.places ?? []) {
      if (pool !== undefined) this.removeEndpoint(pool, place, NOTICE_MS);
    }
  }

  private removeEndpoint(pool: Pool, place: number, noticeMs: number): void {
    pool.places.delete(place);
    void this.fleet.removeAnnounced(place, noticeMs);
  }

  private async startEndpoint(pool: Pool): Promise<void> {
    const domain = this.failureDomains.indexOf(pool.failureDomain);
    const round = this.places++ * this.failureDomains.length;
    const place = FIRST_ORDERED_PLACE + round + domain;
    pool.places.add(place);
    await sleep(BOOT_MS);
    if (!pool.places.has(place)) return;
    await this.fleet.add(SOAK_SERVICES.streams, place, pool.isSpot);
  }

  private findPool(
    key: Pick<Pool, 'failureDomain' | 'isSpot'>,
  ): Pool | undefined {
    return this.pools.find(
      ({failureDomain, isSpot}) =>
        failureDomain === key.failureDomain && isSpot === key.isSpot,
    );
  }

  private listPools(): PlatformPool[] {
    return this.pools.map(({failureDomain, isSpot, ordered, places}) => {
      const here = [...places].filter((place) => this.fleet.find(place));
      const present = places.size;
      return {failureDomain, isSpot, ordered, present, ready: here.length};
    });
  }
}
