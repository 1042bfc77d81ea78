/**
 * Chooses the host that grants the permits of a rate-limited endpoint (the
 * issuer), and the share of the limit that it may grant. All hosts derive the
 * same issuer from the names of the live hosts by rendezvous hashing, without
 * coordination. Different endpoints have different issuers, and a high limit
 * has several, so the load is spread.
 *
 * Hosts may briefly disagree on who is alive, so that two of them grant
 * permits. The bound tolerates 1.8 s of that in any 4 s, as a new issuer
 * starts with an empty bucket. Longer overlaps are prevented: a host that has
 * just started may not know the others yet and grants nothing, and a host that
 * hears less than half of the possibly live hosts grants only a small share,
 * so that the two sides of a network partition don't grant the limit twice.
 */
import {hashText} from './hash.js';

/**
 * How long a host grants no permits after its start, in ms. If all hosts
 * restart at once, they find each other within a second; until then each would
 * grant the whole limit.
 */
const START_MS = 2000;
/**
 * The factor on the share of a host that hears less than half of the hosts.
 * With it, both sides of a partition together exceed the limit by a quarter at
 * most.
 */
const MINOR_SIDE_FRACTION = 0.5;

/** The hosts that one host knows. */
export interface IssuerHosts {
  /** The live hosts that aren't leaving; includes this one if it isn't. */
  readonly names: readonly string[];
  /**
   * The number of hosts that may be alive: this one and all others, including
   * those that fell silent recently.
   */
  readonly possiblyAlive: number;
}

/**
 * The rate of an endpoint that one issuer handles, in requests per second; a
 * higher limit is split over several issuers. A permit request costs about
 * 60 µs and 140 bytes, so a limit of 1,000 would take a tenth of a core and
 * 420 KB per second of one host.
 */
const MAX_PER_ISSUER = 50;

/** Finds the issuers of each endpoint. */
export class PermitIssuers {
  private hosts: IssuerHosts = {names: [], possiblyAlive: 1};
  /** The hosts in each endpoint's order of preference, by instance id. */
  private orders = new Map<string, readonly string[]>();

  constructor(
    private readonly ownName: string,
    private readonly startedAt: number,
  ) {}

  /** Sets the current hosts. */
  update(hosts: IssuerHosts): void {
    this.hosts = hosts;
    this.orders = new Map();
  }

  /**
   * Finds an issuer of an endpoint instance.
   *
   * @param turn Selects one of several issuers; it may exceed their number.
   */
  findIssuer(
    instanceId: string,
    perSecond: number,
    turn = 0,
  ): string | undefined {
    const count = this.countIssuers(perSecond);
    return this.getOrder(instanceId)[turn % count];
  }

  /** Computes the share of the limit that this host may grant; 0 for none. */
  computeShare(instanceId: string, perSecond: number, now: number): number {
    if (now - this.startedAt < START_MS) return 0;
    const count = this.countIssuers(perSecond);
    const rank = this.getOrder(instanceId).indexOf(this.ownName);
    if (rank === -1 || rank >= count) return 0;
    const {names, possiblyAlive} = this.hosts;
    const heard = names.length / Math.max(1, possiblyAlive);
    const share = heard > 1 / 2 ? 1 : heard * MINOR_SIDE_FRACTION;
    return share / count;
  }

  /** Counts the issuers over which a limit is split. */
  countIssuers(perSecond: number): number {
    const wanted = Math.ceil(perSecond / MAX_PER_ISSUER);
    return Math.max(1, Math.min(wanted, this.hosts.names.length));
  }

  /** Drops the cached order of an endpoint. */
  drop(instanceId: string): void {
    this.orders.delete(instanceId);
  }

  private getOrder(instanceId: string): readonly string[] {
    let order = this.orders.get(instanceId);
    if (order === undefined) {
      order = sortIssuers(instanceId, this.hosts.names);
      this.orders.set(instanceId, order);
    }
    return order;
  }
}

/**
 * Sorts hosts by rendezvous hash for an endpoint instance. When a host goes,
 * only the endpoints that it issued permits for move.
 */
export function sortIssuers(
  instanceId: string,
  names: readonly string[],
): string[] {
  const hashed = names.map((name) => ({
    name,
    hash: hashText(`${instanceId}/${name}`),
  }));
  hashed.sort((a, b) => a.hash - b.hash);
  return hashed.map(({name}) => name);
}
