/**
 * Which host hands out the permits for an endpoint that named a limit, and how
 * much of the limit it may give. All hosts find the same one from the names of
 * those that are alive, so nothing has to be agreed; each limited endpoint has
 * another, and a high limit several, so the work is spread.
 *
 * Hosts may differ for a moment on who is alive, and two may hand out permits then.
 * The bound leaves room for 1.8 s of that in any 4 s, as whoever begins has none
 * gathered. What would last longer is kept out: a host that has just started may
 * not know the others yet, and gives none; one that hears less than half of the
 * hosts that may live gives a small part, so that the two sides of a cut do not
 * give the limit twice.
 */
import {hashText} from './hash.js';

/**
 * From its start on a host gives no permits for so long, in ms. After a loss of all
 * hosts at once they find each other within a second; each alone would give all.
 */
const START_MS = 2000;
/**
 * What a side of a cut that hears less than half may give, as a part of its share
 * by hosts. With it both sides together give a quarter over the limit at most.
 */
const MINOR_SIDE_PART = 0.5;

/** The hosts as one host knows them. */
export interface IssuerHosts {
  /** Those that are alive and stay, this one too if it does. */
  readonly names: readonly string[];
  /** All that may be alive, this one too: those that fell silent of late. */
  readonly possiblyAlive: number;
}

/**
 * What one host hands out for an endpoint, in requests a second; more is split
 * over several hosts. A question costs some 60 µs and 140 bytes, so that a limit of
 * 1,000 would take a tenth of a core and 420 KB a second of one host.
 */
const MOST_PER_ISSUER = 50;

/** Knows the issuers of each endpoint. */
export class PermitIssuers {
  private hosts: IssuerHosts = {names: [], possiblyAlive: 1};
  /** The hosts in the order of each endpoint, by instance id. */
  private orders = new Map<string, readonly string[]>();

  constructor(
    private readonly ownName: string,
    private readonly startedAt: number,
  ) {}

  /** Takes which hosts there are now. */
  update(hosts: IssuerHosts): void {
    this.hosts = hosts;
    this.orders = new Map();
  }

  /**
   * Finds an issuer for the start of an endpoint.
   *
   * @param turn Which of them, where the limit is split.
   */
  findIssuer(
    instanceId: string,
    perSecond: number,
    turn = 0,
  ): string | undefined {
    const count = this.countIssuers(perSecond);
    return this.getOrder(instanceId)[turn % count];
  }

  /** Gives the part of the limit that this host may give; 0 for none. */
  computeShare(instanceId: string, perSecond: number, now: number): number {
    if (now - this.startedAt < START_MS) return 0;
    const count = this.countIssuers(perSecond);
    const place = this.getOrder(instanceId).indexOf(this.ownName);
    if (place === -1 || place >= count) return 0;
    const {names, possiblyAlive: mayLive} = this.hosts;
    const heard = names.length / Math.max(1, mayLive);
    const part = heard > 1 / 2 ? 1 : heard * MINOR_SIDE_PART;
    return part / count;
  }

  /** Counts the hosts over which a limit is split. */
  countIssuers(perSecond: number): number {
    const wanted = Math.ceil(perSecond / MOST_PER_ISSUER);
    return Math.max(1, Math.min(wanted, this.hosts.names.length));
  }

  /** Forgets an endpoint. */
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

/** Sorts by the hash over both names, so that few move when a host goes. */
export function sortIssuers(
  instanceId: string,
  names: readonly string[],
): string[] {
  const placed = names.map((name) => ({
    name,
    place: hashText(`${instanceId}/${name}`),
  }));
  placed.sort((a, b) => a.place - b.place);
  return placed.map(({name}) => name);
}
