/**
 * The rate limits that endpoints advertise, as this host knows them: from the
 * responses that it received itself and from the reports of other hosts.
 */
import {
  computeEnforcedRate,
  isNewerReport,
  type LimitReport,
  type AdvertisedLimit,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';

/** A limit in force. */
export interface KnownLimit {
  readonly instanceId: string;
  /** Requests per second, over all hosts. */
  readonly perSecond: number;
  /** Since when the endpoint has had a limit, in ms by this host's clock. */
  readonly since: number;
  /** The origin of the last report: a response to this host or another host. */
  readonly source: string;
}

interface StoredReport extends LimitReport {
  readonly since: number;
  readonly source: string;
}

/** The effect of a report: a changed limit, the same limit, or none. */
export type ReportOutcome = 'changed' | 'known' | 'older';

/** The source of a limit that this host read in a response. */
const OWN_SOURCE = 'answer';
/**
 * The maximum number of endpoints, some 2 MB; the oldest are evicted. It is far
 * above what one host uses, so only nonsensical datagrams reach it.
 */
const MAX_REPORTS = 20_000;

/** Keeps the last report on each endpoint's limit. */
export class KnownLimits {
  private readonly reports = new Map<string, StoredReport>();
  private limitCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** The number of limits in force. */
  get count(): number {
    return this.limitCount;
  }

  /** Finds the last report on an endpoint, also one that it has no limit. */
  findReport(instanceId: string): LimitReport | undefined {
    return this.reports.get(instanceId);
  }

  /** Finds the limit in force of an endpoint, in requests per second. */
  findRate(instanceId: string): number | undefined {
    // Skips the lookup while no endpoint has a limit.
    if (this.limitCount === 0) return undefined;
    return this.reports.get(instanceId)?.perSecond;
  }

  /** Lists the limits in force. */
  listLimits(): KnownLimit[] {
    const limits: KnownLimit[] = [];
    for (const [instanceId, {perSecond, since, source}] of this.reports) {
      if (perSecond === undefined) continue;
      limits.push({instanceId, perSecond, since, source});
    }
    return limits;
  }

  /** Applies a limit that a response has just advertised. */
  acceptAdvertised(
    instanceId: string,
    advertised: AdvertisedLimit,
  ): ReportOutcome {
    const before = this.reports.get(instanceId)?.perSecond;
    const perSecond = computeEnforcedRate(advertised, before);
    if (advertised.kind === 'unreadable' && before === undefined) {
      this.log.writeWarning('Endpoint advertised an unreadable limit.', {
        endpoint: instanceId,
        believed: perSecond,
      });
    }
    const report = {perSecond, at: this.clock.getNow()};
    return this.accept(instanceId, report, OWN_SOURCE);
  }

  /**
   * Applies a response without a limit.
   *
   * @param sentAt When its request was sent, in ms by this host's clock.
   */
  acceptAbsent(instanceId: string, sentAt: number): ReportOutcome {
    // Endpoints without a limit are not stored.
    if (this.findRate(instanceId) === undefined) return 'known';
    return this.accept(
      instanceId,
      {perSecond: undefined, at: sentAt},
      OWN_SOURCE,
    );
  }

  /** Applies a report if it is newer than the last one. */
  accept(
    instanceId: string,
    report: LimitReport,
    source: string,
  ): ReportOutcome {
    const known = this.reports.get(instanceId);
    if (!isNewerReport(report, known)) return 'older';
    const isChanged = known?.perSecond !== report.perSecond;
    const hadLimit = known?.perSecond !== undefined;
    const since =
      hadLimit && report.perSecond !== undefined ? known.since : report.at;
    this.put(instanceId, {...report, since, source});
    if (!isChanged) return 'known';
    this.log.writeInfo(
      report.perSecond === undefined
        ? 'Endpoint has no limit any more.'
        : 'Endpoint limit changed.',
      {
        endpoint: instanceId,
        perSecond: report.perSecond,
        before: known?.perSecond,
        source,
        ageMs: Math.round(this.clock.getNow() - report.at),
      },
    );
    return 'changed';
  }

  /** Removes an endpoint. */
  drop(instanceId: string): void {
    const known = this.reports.get(instanceId);
    if (known?.perSecond !== undefined) this.limitCount--;
    this.reports.delete(instanceId);
  }

  /** Lists the instance ids of all endpoints with a report. */
  listInstanceIds(): string[] {
    return [...this.reports.keys()];
  }

  private put(instanceId: string, report: StoredReport): void {
    this.drop(instanceId);
    this.reports.set(instanceId, report);
    if (report.perSecond !== undefined) this.limitCount++;
    const [oldest] = this.reports.keys();
    if (this.reports.size > MAX_REPORTS && oldest !== undefined) {
      this.drop(oldest);
    }
  }
}
