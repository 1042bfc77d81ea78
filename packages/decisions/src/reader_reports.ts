/**
 * Reports that the hosts which read the store gossip to all others: how old
 * their replica of the configuration may be, and how long removed entries stay
 * in use. Ages and delays are adjusted for the time that a report was held
 * before it is passed on.
 */

/** The report of one host that reads the store. */
export interface ReaderReport {
  readonly name: string;
  readonly incarnation: number;
  /** Grows with each report of one incarnation. */
  readonly sequence: number;
  /** The highest revision of a configuration change that it knows. */
  readonly configurationRevision: number;
  /** How long ago its configuration was confirmed to be current, in ms. */
  readonly configurationAgeMs: number;
  /** How much longer entries removed from the store stay in use, in ms. */
  readonly departureDelayMs: number;
}

interface StoredReport {
  readonly report: ReaderReport;
  readonly receivedAt: number;
}

/**
 * How long a report is valid, in ms. Hosts report every 300 ms, and a report
 * reaches 350 hosts within 1.5 s on messages that they exchange anyway.
 */
const VALIDITY_MS = 2500;

/**
 * How long an expired report is remembered, in ms: other hosts may still pass
 * it on, and it must not be mistaken for a new one.
 */
const REMEMBER_MS = 60_000;

/** The newest report of each host. */
export class ReaderReports {
  private readonly reports = new Map<string, StoredReport>();

  /** Accepts a report if it is newer than the known one of the same host. */
  accept(report: ReaderReport, now: number): void {
    const known = this.reports.get(report.name)?.report;
    const order =
      known === undefined
        ? 1
        : report.incarnation - known.incarnation ||
          report.sequence - known.sequence;
    if (order > 0) this.reports.set(report.name, {report, receivedAt: now});
  }

  /** Lists the valid reports, with times adjusted to now, to be passed on. */
  list(now: number): ReaderReport[] {
    const reports: ReaderReport[] = [];
    for (const [name, {report, receivedAt}] of this.reports) {
      const passedMs = now - receivedAt;
      if (passedMs > REMEMBER_MS) this.reports.delete(name);
      if (passedMs > VALIDITY_MS) continue;
      reports.push({
        ...report,
        configurationAgeMs: report.configurationAgeMs + passedMs,
        departureDelayMs: Math.max(0, report.departureDelayMs - passedMs),
      });
    }
    return reports;
  }

  /**
   * Returns how long ago a replica of the configuration was confirmed to be
   * current, in ms; Infinity without a report that confirms it.
   *
   * @param revision The highest revision of a change that the replica holds.
   *     A reader that knows a later change doesn't confirm such a replica.
   */
  getConfigurationAgeMs(revision: number, now: number): number {
    let age = Infinity;
    for (const report of this.list(now)) {
      if (report.configurationRevision > revision) continue;
      age = Math.min(age, report.configurationAgeMs);
    }
    return age;
  }

  /**
   * Returns how much longer removed entries stay in use, in ms: the shortest
   * delay of all reports, as reported by a host that could reach the store
   * throughout; undefined without a report.
   */
  getDepartureDelayMs(now: number): number | undefined {
    let delay: number | undefined;
    for (const {departureDelayMs} of this.list(now)) {
      delay = Math.min(delay ?? Infinity, departureDelayMs);
    }
    return delay;
  }
}
