/**
 * Holds what reached endpoints that asked hosts for a pause against it: no host
 * sends more than two requests from half a second after it was rejected to the
 * end of the pause, but for hosts that something befell.
 */
import type {Disturbances} from './disturbances.js';

/** Requests that were under way may still arrive for so long, in ms. */
const UNDER_WAY_MS = 500;
const MOST_IN_PAUSE = 2;
/** Others send what a partitioned host relayed until so much later, in ms. */
const RELAYED_MS = 3000;

/** What one endpoint asked one host for. */
interface AskedPause {
  readonly endpoint: string;
  readonly host: string;
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

/** The witness. */
export class PauseWitness {
  private readonly pauses = new Map<string, AskedPause>();
  private readonly ended: AskedPause[] = [];

  constructor(private readonly disturbances: Disturbances) {}

  /** Takes a request that an endpoint rejected, asking for a pause. */
  recordRejected(
    endpoint: string,
    host: string,
    at: number,
    pauseMs: number,
  ): void {
    if (this.isRelaying(host, at)) return;
    const key = `${endpoint} ${host}`;
    const pause = this.pauses.get(key);
    if (pause !== undefined && at < pause.until) {
      if (at > pause.from + UNDER_WAY_MS) pause.arrivals++;
      return;
    }
    const asked = {endpoint, host, from: at, until: at + pauseMs, arrivals: 0};
    this.pauses.set(key, asked);
    this.ended.push(asked);
  }

  /** Lists what broke the bound, in words that name who and what. */
  listFaults(): string[] {
    const faults: string[] = [];
    for (const {endpoint, host, from, until, arrivals} of this.ended) {
      if (arrivals <= MOST_IN_PAUSE || this.isDisturbed(host, from, until)) {
        continue;
      }
      faults.push(`${endpoint} got ${arrivals} from ${host} in a pause`);
    }
    return faults;
  }

  /** Whether another host may have sent what callers sent to this one. */
  private isRelaying(host: string, at: number): boolean {
    return this.disturbances
      .listBetween(host, at - RELAYED_MS, at)
      .some(({part}) => part === 'endpoint paths');
  }

  private isDisturbed(host: string, from: number, until: number): boolean {
    return this.disturbances
      .listBetween(host, from, until)
      .some(({part}) => part === 'hosts');
  }
}
