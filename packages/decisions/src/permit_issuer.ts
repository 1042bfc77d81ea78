/**
 * Which host hands out the permits for an endpoint that named a limit, and how
 * much of the limit it may give. All hosts find the same one from the names of
 * those that are alive, so nothing has to be agreed; each limited endpoint has
 * another, so the work is spread.
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
  readonly mayLive: number;
}

/** Knows the issuer of each endpoint. */
export class PermitIssuers {
  private hosts: IssuerHosts = {names: [], mayLive: 1};
  /** What was found for these hosts, by instance id. */
  private found = new Map<string, string | undefined>();

  constructor(
    private readonly ownName: string,
    private readonly startedAt: number,
  ) {}

  /** Takes which hosts there are now. */
  update(hosts: IssuerHosts): void {
    this.hosts = hosts;
    this.found = new Map();
  }

  /** Finds the issuer for the start of an endpoint. */
  findIssuer(instanceId: string): string | undefined {
    if (!this.found.has(instanceId)) {
      const issuer = chooseIssuer(instanceId, this.hosts.names);
      this.found.set(instanceId, issuer);
    }
    return this.found.get(instanceId);
  }

  /** Gives the part of the limit that this host may give; 0 for none. */
  computePart(instanceId: string, now: number): number {
    if (this.findIssuer(instanceId) !== this.ownName) return 0;
    if (now - this.startedAt < START_MS) return 0;
    const {names, mayLive} = this.hosts;
    const part = names.length / Math.max(1, mayLive);
    return part > 1 / 2 ? 1 : part * MINOR_SIDE_PART;
  }

  /** Forgets an endpoint. */
  drop(instanceId: string): void {
    this.found.delete(instanceId);
  }
}

/** Chooses by the hash over both names, so that few move when a host goes. */
export function chooseIssuer(
  instanceId: string,
  names: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestPlace = Infinity;
  for (const name of names) {
    const place = hashText(`${instanceId}/${name}`);
    if (place >= bestPlace) continue;
    best = name;
    bestPlace = place;
  }
  return best;
}
