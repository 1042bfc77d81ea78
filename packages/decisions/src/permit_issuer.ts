/**
 * Which host hands out the permits for an endpoint that named a limit, and how
 * much of the limit it may give. All hosts find the same one from the names of
 * those that are alive, so nothing has to be agreed; each limited endpoint has
 * another, so the work is spread.
 *
 * Hosts may differ for a while on who is alive. A host that has just become the
 * issuer therefore waits until the others can have noticed; and one that hears
 * less than half of the hosts that may live gives a small part only, so that the
 * two sides of a cut do not give the limit twice.
 */
import {hashText} from './hash.js';

/**
 * How long a host was the issuer before it gives permits, in ms. A lost host is
 * told of within some 0.3 s (ten datagrams in a row would have to be lost for
 * longer); what the one before it gave is used by then.
 */
const SETTLE_MS = 1000;
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

interface Term {
  readonly round: number;
  readonly issuer: string | undefined;
  /** Since when it is the issuer as far as is known here. */
  readonly since: number;
}

/** Knows the issuer of each endpoint. */
export class PermitIssuers {
  private names: readonly string[] = [];
  private mayLive = 1;
  private changedAt: number;
  private round = 0;
  private readonly terms = new Map<string, Term>();

  constructor(
    private readonly ownName: string,
    startedAt: number,
  ) {
    this.changedAt = startedAt;
  }

  /** Takes which hosts there are now. */
  update({names, mayLive}: IssuerHosts, now: number): void {
    this.mayLive = mayLive;
    const sorted = [...names].sort();
    if (sorted.join(' ') === this.names.join(' ')) return;
    this.names = sorted;
    this.changedAt = now;
    this.round++;
  }

  /** Finds the issuer for the start of an endpoint. */
  findIssuer(instanceId: string): string | undefined {
    return this.getTerm(instanceId).issuer;
  }

  /** Gives the part of the limit that this host may give; 0 for none. */
  computePart(instanceId: string, now: number): number {
    const {issuer, since} = this.getTerm(instanceId);
    if (issuer !== this.ownName || now - since < SETTLE_MS) return 0;
    const part = this.names.length / Math.max(1, this.mayLive);
    return part > 1 / 2 ? 1 : part * MINOR_SIDE_PART;
  }

  /** Forgets an endpoint. */
  drop(instanceId: string): void {
    this.terms.delete(instanceId);
  }

  private getTerm(instanceId: string): Term {
    const known = this.terms.get(instanceId);
    if (known?.round === this.round) return known;
    const issuer = chooseIssuer(instanceId, this.names);
    const isSame = known !== undefined && known.issuer === issuer;
    const since = isSame ? known.since : this.changedAt;
    const term = {round: this.round, issuer, since};
    this.terms.set(instanceId, term);
    return term;
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
