/**
 * Holds what reached endpoints that named a limit against it, by what the
 * endpoints saw: in any four seconds, from when hosts had time to tell each other,
 * no more than half over the limit, and five, by hosts that were left alone.
 *
 * Only an answer tells hosts of a limit, and only hosts keep it. So an arrival
 * counts if an answer with the limit went to a host that was left alone until it
 * had told the others, and if at least one host has lived on since. In a play,
 * all hosts were killed together and an endpoint got its next requests 5.6 s
 * after it had named its limit, when no host could know it.
 */
import {
  computeMaxArrivals,
  MAX_PROPAGATION_MS,
  countMaxArrivals,
} from '@irisdock/users-platform/fixtures';
import type {Disturbances} from './disturbances.js';

/** A time in which one endpoint named a limit. */
interface NamedSpan {
  readonly endpoint: string;
  readonly perSecond: number;
  readonly from: number;
  until: number;
}

interface Arrival {
  readonly host: string;
  readonly at: number;
}

/** An answer with the limit, to a host. */
type LimitAnswer = Arrival;

/** The witness. */
export class LimitWitness {
  private readonly spans = new Map<string, NamedSpan>();
  private readonly arrivals = new Map<string, Arrival[]>();
  private readonly answers = new Map<string, LimitAnswer[]>();
  /** The hosts that have sent requests. */
  private readonly hosts = new Set<string>();

  constructor(private readonly disturbances: Disturbances) {}

  /** Takes it that an endpoint names a limit from now on. */
  recordNamed(endpoint: string, perSecond: number, at: number): void {
    const span = {endpoint, perSecond, from: at, until: Infinity};
    this.spans.set(endpoint, span);
  }

  /** Takes it that an endpoint names none from now on. */
  recordEnded(endpoint: string, at: number): void {
    const span = this.spans.get(endpoint);
    if (span !== undefined) span.until = at;
  }

  /** Takes a request that reached an endpoint. */
  recordArrival(endpoint: string, host: string, at: number): void {
    if (host !== '') this.hosts.add(host);
    const arrivals = this.arrivals.get(endpoint) ?? [];
    arrivals.push({host, at});
    this.arrivals.set(endpoint, arrivals);
  }

  /** Takes an answer of an endpoint that named its limit, if it names one. */
  recordAnswer(endpoint: string, host: string, at: number): void {
    const span = this.spans.get(endpoint);
    if (host === '' || span === undefined) return;
    if (at < span.from || at > span.until) return;
    const answers = this.answers.get(endpoint) ?? [];
    answers.push({host, at});
    this.answers.set(endpoint, answers);
  }

  /** Gives the arrivals that were held against a limit. */
  countChecked(): number {
    let count = 0;
    for (const span of this.spans.values()) {
      count += this.listTimes(span).length;
    }
    return count;
  }

  /** Lists what broke the bound, in words that name who and what. */
  listFaults(): string[] {
    const faults: string[] = [];
    for (const span of this.spans.values()) {
      const {endpoint, perSecond} = span;
      const worst = countMaxArrivals(this.listTimes(span));
      if (worst <= computeMaxArrivals(perSecond)) continue;
      faults.push(`${endpoint}, at most ${perSecond}/s, got ${worst} in 4 s`);
    }
    return faults;
  }

  private listTimes({endpoint, from, until}: NamedSpan): number[] {
    const times: number[] = [];
    for (const arrival of this.arrivals.get(endpoint) ?? []) {
      const {at} = arrival;
      if (at < from + MAX_PROPAGATION_MS || at > until) continue;
      if (!this.isInTouch(arrival)) continue;
      if (this.isKnown(endpoint, at)) times.push(at);
    }
    return times;
  }

  /** Whether all hosts have to know the limit of an endpoint. */
  private isKnown(endpoint: string, at: number): boolean {
    for (const answer of this.answers.get(endpoint) ?? []) {
      const toldAt = answer.at + MAX_PROPAGATION_MS;
      if (toldAt > at) return false;
      const {host} = answer;
      if (!this.isInTouch({host, at: toldAt})) continue;
      if (this.hasLivingHost(answer.at, at)) return true;
    }
    return false;
  }

  /** Whether at least one host was neither ended nor paused for a while. */
  private hasLivingHost(from: number, until: number): boolean {
    for (const host of this.hosts) {
      const disturbed = this.disturbances.listBetween(host, from, until);
      if (disturbed.every(({part}) => part !== 'hosts')) return true;
    }
    return false;
  }

  /** Whether nothing befell the host, or the ways to endpoints, for a while. */
  private isInTouch({host, at}: Arrival): boolean {
    const disturbed = this.disturbances.listBetween(
      host,
      at - MAX_PROPAGATION_MS,
      at,
    );
    return disturbed.every(({part}) => part === 'callers' || part === 'store');
  }
}
