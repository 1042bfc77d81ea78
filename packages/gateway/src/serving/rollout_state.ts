/**
 * One roll-out as one host knows it: its order, its phase, which only goes
 * forward, and what this host and others saw of it.
 */
import {
  computeTrialQuota,
  decideVersionVerdict,
  ROLLOUT_PHASES,
  type ExposureBounds,
  type RolloutPhase,
  type RolloutView,
} from '@irisdock/decisions';
import type {RolloutOrder, RolloutReport} from '../model/rollout_order.js';
import type {EndpointRecord} from './endpoint_record.js';
import {
  computeEvidence,
  RolloutCounts,
  type ObservedAnswer,
} from './rollout_counts.js';

/** How an endpoint stands to a roll-out of its service. */
export type RolloutSide = 'new' | 'old' | 'other';

/** One roll-out. */
export class RolloutState {
  readonly counts = new RolloutCounts();
  /** Versions that served when the order came, and before it moved. */
  private readonly oldVersions = new Set<string>();
  private readonly reports = new Map<string, RolloutReport>();
  private known: RolloutPhase = 'announced';

  constructor(
    readonly order: RolloutOrder,
    /** The revision of the order. */
    readonly revision: number,
    /** When this host learned of it, on the monotonic clock. */
    readonly startedAt: number,
  ) {}

  get phase(): RolloutPhase {
    return this.known;
  }

  /** Whether nothing more is decided of it. */
  get isOver(): boolean {
    return this.known === 'completed' || this.known === 'rolled-back';
  }

  /** Goes on to a phase; false when it is not further than the known one. */
  setPhase(next: RolloutPhase): boolean {
    const isFurther =
      ROLLOUT_PHASES.indexOf(next) > ROLLOUT_PHASES.indexOf(this.known);
    if (isFurther) this.known = next;
    return isFurther;
  }

  /** Takes it that endpoints of a version serve. */
  addVersion(version: string): void {
    const isMoved = this.known === 'moving' || this.known === 'completed';
    if (version !== this.order.version && !isMoved) {
      this.oldVersions.add(version);
    }
  }

  /** Tells how an endpoint of the service stands to it. */
  getSide({entry}: EndpointRecord): RolloutSide {
    if (entry.version === this.order.version) return 'new';
    return this.oldVersions.has(entry.version) ? 'old' : 'other';
  }

  /**
   * Whether endpoints of a side get usual requests.
   *
   * @param hasNew Whether any new endpoint can take requests.
   * @param hasOld Whether any old endpoint is known.
   */
  isOpen(side: RolloutSide, hasNew: boolean, hasOld: boolean): boolean {
    const isMoved = this.known === 'moving' || this.known === 'completed';
    // With no old one left it was completed before this host heard of it.
    const isPast = this.known === 'announced' && !hasOld;
    if (side === 'new') return isMoved || isPast;
    if (side === 'other' || !isMoved) return true;
    // Before its end old endpoints still run, and stand in for lost new ones.
    return this.known === 'moving' && !hasNew;
  }

  /** Counts one more trial if there is room for it. */
  takeTrial(bounds: ExposureBounds, hosts: number): boolean {
    if (this.known !== 'trial') return false;
    const {counts} = this;
    const room = computeTrialQuota(bounds, counts.requests, hosts);
    if (counts.trialSends + 1 > room) return false;
    counts.trialSends++;
    return true;
  }

  /** Takes an answer; a host that sees enough by itself goes back at once. */
  addAnswer(answer: ObservedAnswer): boolean {
    this.counts.add(answer);
    if (!answer.isNew || this.isOver) return false;
    return this.counts.decide() === 'bad' && this.setPhase('rolled-back');
  }

  /** Gives what this host tells of it. */
  createReport(oldRunning: number): RolloutReport {
    return {
      service: this.order.service,
      revision: this.revision,
      phase: this.known,
      requests: this.counts.requests,
      trialSends: this.counts.trialSends,
      oldRunning,
      routes: this.counts.listRoutes(),
    };
  }

  /** Takes what a host told. */
  addReport(host: string, report: RolloutReport): void {
    this.reports.set(host, report);
  }

  /**
   * Sums up what the hosts told.
   *
   * @param hosts The hosts that serve.
   */
  createView(
    hosts: readonly string[],
    newEndpoints: number,
    bounds: ExposureBounds,
    now: number,
  ): RolloutView {
    const reports = [...this.reports.values()];
    const sum = (get: (report: RolloutReport) => number): number =>
      reports.reduce((total, report) => total + get(report), 0);
    return {
      phase: this.known,
      verdict: decideVersionVerdict(
        computeEvidence(reports.map(({routes}) => routes)),
      ),
      bounds,
      elapsedMs: now - this.startedAt,
      durationMs: this.order.durationMs,
      requests: sum(({requests}) => requests),
      trialSends: sum(({trialSends}) => trialSends),
      newEndpoints,
      oldRunning: this.countOldRunning(hosts),
    };
  }

  /** Undefined until all hosts have told that they know of the change-over. */
  private countOldRunning(hosts: readonly string[]): number | undefined {
    let running = 0;
    for (const host of hosts) {
      const report = this.reports.get(host);
      if (report?.phase !== this.known) return undefined;
      running += report.oldRunning;
    }
    return running;
  }
}
