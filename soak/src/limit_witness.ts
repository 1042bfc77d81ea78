/**
 * Holds what reached endpoints that named a limit against it, by what the
 * endpoints saw: in any four seconds, from when hosts had time to tell each other,
 * no more than half over the limit, and five, by hosts that were left alone.
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

/** The witness. */
export class LimitWitness {
  private readonly spans = new Map<string, NamedSpan>();
  private readonly arrivals = new Map<string, Arrival[]>();

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
    const arrivals = this.arrivals.get(endpoint) ?? [];
    arrivals.push({host, at});
    this.arrivals.set(endpoint, arrivals);
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
      if (this.isInTouch(arrival)) times.push(at);
    }
    return times;
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
