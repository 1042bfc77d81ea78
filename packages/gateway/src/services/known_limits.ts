/**
 * The limits that endpoints name, as this host believes them: by answers that it
 * got itself, and by what other hosts tell of theirs.
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
  /** Requests a second from all hosts together. */
  readonly perSecond: number;
  /** When it was named first without a break, in ms by this host's clock. */
  readonly since: number;
  /** Who told of it last: this host's own answers, or another host. */
  readonly source: string;
}

interface Belief extends LimitReport {
  readonly since: number;
  readonly source: string;
}

/** What became of a report. */
export type ReportOutcome = 'changed' | 'known' | 'older';

/** The source of what this host saw in an answer. */
const OWN_SOURCE = 'answer';
/**
 * Endpoints that are remembered; the oldest give way. Far over what one host
 * uses, so that only datagrams of no sense reach it; some 2 MB.
 */
const MAX_BELIEFS = 20_000;

/** The beliefs. */
export class KnownLimits {
  private readonly beliefs = new Map<string, Belief>();
  private inForce = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** The number of limits in force. */
  get count(): number {
    return this.inForce;
  }

  /** Gives what was told of an endpoint last; also that it has no limit. */
  findReport(instanceId: string): LimitReport | undefined {
    return this.beliefs.get(instanceId);
  }

  /** Finds the limit of an endpoint in force, in requests a second. */
  findRate(instanceId: string): number | undefined {
    // Nothing to look up while no endpoint names a limit.
    if (this.inForce === 0) return undefined;
    return this.beliefs.get(instanceId)?.perSecond;
  }

  /** Lists the limits in force. */
  listLimits(): KnownLimit[] {
    const limits: KnownLimit[] = [];
    for (const [instanceId, {perSecond, since, source}] of this.beliefs) {
      if (perSecond === undefined) continue;
      limits.push({instanceId, perSecond, since, source});
    }
    return limits;
  }

  /** Takes a limit that an answer named just now. */
  acceptAdvertised(instanceId: string, named: AdvertisedLimit): ReportOutcome {
    const before = this.beliefs.get(instanceId)?.perSecond;
    const perSecond = computeEnforcedRate(named, before);
    if (named.kind === 'unreadable' && before === undefined) {
      this.log.writeWarning('An endpoint names a limit that is no rate.', {
        endpoint: instanceId,
        believed: perSecond,
      });
    }
    const report = {perSecond, at: this.clock.getNow()};
    return this.accept(instanceId, report, OWN_SOURCE);
  }

  /** Takes it that an answer to what was sent at a moment named no limit. */
  acceptAbsent(instanceId: string, sentAt: number): ReportOutcome {
    // Who never named one has nothing to end, and is not remembered.
    if (this.findRate(instanceId) === undefined) return 'known';
    return this.accept(
      instanceId,
      {perSecond: undefined, at: sentAt},
      OWN_SOURCE,
    );
  }

  /** Takes what a host tells, if it is newer than what is believed. */
  accept(
    instanceId: string,
    report: LimitReport,
    source: string,
  ): ReportOutcome {
    const known = this.beliefs.get(instanceId);
    if (!isNewerReport(report, known)) return 'older';
    const isChanged = known?.perSecond !== report.perSecond;
    const isStill = known?.perSecond !== undefined;
    const since =
      isStill && report.perSecond !== undefined ? known.since : report.at;
    this.put(instanceId, {...report, since, source});
    if (!isChanged) return 'known';
    this.log.writeInfo(
      report.perSecond === undefined
        ? 'An endpoint names no limit any more.'
        : 'An endpoint names a limit.',
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

  /** Forgets endpoints. */
  drop(instanceId: string): void {
    const known = this.beliefs.get(instanceId);
    if (known?.perSecond !== undefined) this.inForce--;
    this.beliefs.delete(instanceId);
  }

  /** Lists the endpoints of which anything is remembered. */
  listInstanceIds(): string[] {
    return [...this.beliefs.keys()];
  }

  private put(instanceId: string, belief: Belief): void {
    this.drop(instanceId);
    this.beliefs.set(instanceId, belief);
    if (belief.perSecond !== undefined) this.inForce++;
    const [oldest] = this.beliefs.keys();
    if (this.beliefs.size > MAX_BELIEFS && oldest !== undefined) {
      this.drop(oldest);
    }
  }
}
