/**
 * The load of a service over all hosts, from what each host reports of itself.
 * Reports hold running totals, so that a lost one is made up by the next.
 */
import type {ServiceDemand} from './scaling_need.js';

/** What one host reports of one service. */
export interface HostDemand {
  /** Requests that run or wait. */
  readonly inFlight: number;
  /** Tokens that its streams and their standby copies occupy. */
  readonly expectedTokens: number;
  /** Prompt tokens for engines to read, in total since the host started. */
  readonly promptTokens: number;
  /**
   * Prompt tokens that engines read while no other prompt waited there, and how
   * long that took in ms; in total since the host started.
   */
  readonly idleTokens: number;
  readonly idleMs: number;
}

interface KnownReport {
  readonly incarnation: number;
  readonly demand: HostDemand;
  readonly at: number;
  /**
   * The beginning of the time that the report covers; undefined if not known, as
   * after the first report of a host.
   */
  readonly since?: number | undefined;
}

/** How long a host's report is valid, in ms; two reports may be lost. */
export const HOST_DEMAND_TTL_MS = 7000;
/**
 * The windows of the rate of prompt tokens, in ms. At 20 streams a second, the
 * rate over the long window varies by 8% and over the short one by 16%; the
 * short one shows a jump of the load, and counts less for its noise.
 */
const LONG_WINDOW_MS = 8000;
const SHORT_WINDOW_MS = 2000;
const SHORT_WINDOW_WEIGHT = 0.75;
/** The time between two reports of a host in a usual fleet, in ms. */
const REPORT_INTERVAL_MS = 1000;
/**
 * A report that follows the host's last one sooner was held up, in ms: after this
 * process was stopped, the reports of the whole time arrive together.
 */
const MIN_REPORT_GAP_MS = 200;
/** The reading time after which older observations count half, in ms. */
const MAX_IDLE_MS = 100_000;
/** The least reading time from which a speed is derived, in ms. */
const MIN_IDLE_MS = 2000;
const MS_PER_SECOND = 1000;

/** Sums the reports of all hosts on one service. */
export class DemandTracker {
  private readonly reports = new Map<string, KnownReport>();
  /** Prompt tokens by the time of their report. */
  private arrivals: {readonly tokens: number; readonly at: number}[] = [];
  private idleTokens = 0;
  private idleMs = 0;

  /** Takes the report of a host. */
  record(
    host: string,
    incarnation: number,
    demand: HostDemand,
    now: number,
  ): void {
    const known = this.reports.get(host);
    if (known !== undefined && isOlder(known, incarnation, demand)) return;
    // The totals of a host that was not known may be old.
    if (known?.incarnation !== incarnation) {
      this.reports.set(host, {incarnation, demand, at: now});
      return;
    }
    const isHeldUp = now - known.at < MIN_REPORT_GAP_MS;
    const since = isHeldUp ? known.since : known.at;
    this.reports.set(host, {incarnation, demand, at: now, since});
    const before = known.demand;
    const tokens = demand.promptTokens - before.promptTokens;
    if (tokens > 0 && since !== undefined) {
      this.dropArrivals(now);
      this.addArrivals(tokens, since, now);
    }
    if (demand.idleMs <= before.idleMs) return;
    this.idleTokens += Math.max(0, demand.idleTokens - before.idleTokens);
    this.idleMs += demand.idleMs - before.idleMs;
    if (this.idleMs <= MAX_IDLE_MS) return;
    this.idleTokens /= 2;
    this.idleMs /= 2;
  }

  /** Counts the hosts whose reports are valid. */
  countHosts(now: number): number {
    let count = 0;
    for (const {at} of this.reports.values()) {
      if (now - at <= HOST_DEMAND_TTL_MS) count++;
    }
    return count;
  }

  /** Returns the load over all hosts. */
  getDemand(now: number): ServiceDemand {
    let inFlight = 0;
    let expectedTokens = 0;
    for (const [host, {demand, at}] of this.reports) {
      if (now - at > HOST_DEMAND_TTL_MS) this.reports.delete(host);
      else {
        inFlight += demand.inFlight;
        expectedTokens += demand.expectedTokens;
      }
    }
    const promptTokensPerSecond = Math.max(
      this.computeRate(LONG_WINDOW_MS, now),
      SHORT_WINDOW_WEIGHT * this.computeRate(SHORT_WINDOW_MS, now),
    );
    return {inFlight, expectedTokens, promptTokensPerSecond};
  }

  /**
   * Returns how many prompt tokens an engine reads per second while nothing else
   * waits there; undefined before enough was observed.
   */
  findPrefillRate(): number | undefined {
    if (this.idleMs < MIN_IDLE_MS) return undefined;
    return (this.idleTokens * MS_PER_SECOND) / this.idleMs;
  }

  /** Adds tokens as if reports had come at the usual interval. */
  private addArrivals(tokens: number, since: number, now: number): void {
    const elapsedMs = now - since;
    const count = Math.max(1, Math.round(elapsedMs / REPORT_INTERVAL_MS));
    for (let index = 0; index < count; index++) {
      const ageMs = (index * elapsedMs) / count;
      if (ageMs >= LONG_WINDOW_MS) return;
      this.arrivals.push({tokens: tokens / count, at: now - ageMs});
    }
  }

  /** Drops what left the windows, also at hosts that never ask for the load. */
  private dropArrivals(now: number): void {
    for (;;) {
      const [first] = this.arrivals;
      if (first === undefined || now - first.at < LONG_WINDOW_MS) return;
      this.arrivals.shift();
    }
  }

  private computeRate(windowMs: number, now: number): number {
    let sum = 0;
    for (const {tokens, at} of this.arrivals) {
      if (now - at < windowMs) sum += tokens;
    }
    return (sum * MS_PER_SECOND) / windowMs;
  }
}

/** Whether a report was overtaken by one that is known. */
function isOlder(
  known: KnownReport,
  incarnation: number,
  {promptTokens, idleMs}: HostDemand,
): boolean {
  if (incarnation !== known.incarnation) return incarnation < known.incarnation;
  const {demand} = known;
  return promptTokens < demand.promptTokens || idleMs < demand.idleMs;
}
