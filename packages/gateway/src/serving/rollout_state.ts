/**
 * One rollout as one host knows it: its order, its phase, which only advances,
 * and the counts of this host and the reports of all hosts.
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

/** Which version of a rollout an endpoint has. */
export type RolloutSide = 'new' | 'old' | 'other';

/** The state of one rollout. */
export class RolloutState {
  readonly counts = new RolloutCounts();
  /** Other versions that were seen before phase `moving`. */
  private readonly oldVersions = new Set<string>();
  private readonly reports = new Map<string, RolloutReport>();
  private currentPhase: RolloutPhase = 'announced';

  constructor(
    readonly order: RolloutOrder,
    /** The revision of the order. */
    readonly revision: number,
    /** When this host learned of the order, on the monotonic clock. */
    readonly startedAt: number,
  ) {}

  get phase(): RolloutPhase {
    return this.currentPhase;
  }

  /** Whether the rollout has reached a final phase. */
  get isOver(): boolean {
    return (
      this.currentPhase === 'completed' || this.currentPhase === 'rolled-back'
    );
  }

  /** Advances to a phase; false if it is not later than the current one. */
  setPhase(next: RolloutPhase): boolean {
    const isAdvance =
      ROLLOUT_PHASES.indexOf(next) > ROLLOUT_PHASES.indexOf(this.currentPhase);
    if (isAdvance) this.currentPhase = next;
    return isAdvance;
  }

  /** Records that there are endpoints of a version. */
  addVersion(version: string): void {
    const isMoved =
      this.currentPhase === 'moving' || this.currentPhase === 'completed';
    if (version !== this.order.version && !isMoved) {
      this.oldVersions.add(version);
    }
  }

  /** Returns which version an endpoint of the service has. */
  getSide({entry}: EndpointRecord): RolloutSide {
    if (entry.version === this.order.version) return 'new';
    return this.oldVersions.has(entry.version) ? 'old' : 'other';
  }

  /**
   * Whether endpoints of a side get usual requests, that is, no trials.
   *
   * @param hasNew Whether any endpoint of the new version can take requests.
   * @param hasOld Whether any endpoint of an old version is known.
   */
  isOpen(side: RolloutSide, hasNew: boolean, hasOld: boolean): boolean {
    const isMoved =
      this.currentPhase === 'moving' || this.currentPhase === 'completed';
    // With no old endpoint left, the rollout ended before this host knew of it.
    const isAlreadyCompleted = this.currentPhase === 'announced' && !hasOld;
    if (side === 'new') return isMoved || isAlreadyCompleted;
    if (side === 'other' || !isMoved) return true;
    // Until completion, old endpoints still run and replace lost new ones.
    return this.currentPhase === 'moving' && !hasNew;
  }

  /**
   * Whether endpoints of a side may continue streams that began at their
   * version: old ones until they stop, new ones unless they are rolled back.
   */
  isOpenToBegunStreams(side: RolloutSide): boolean {
    if (side === 'other') return true;
    const phase = side === 'old' ? 'moving' : 'trial';
    return this.currentPhase === phase;
  }

  /** Takes one trial; false if the exposure bounds allow no more. */
  takeTrial(bounds: ExposureBounds, hosts: number): boolean {
    if (this.currentPhase !== 'trial') return false;
    const {counts} = this;
    const quota = computeTrialQuota(bounds, counts.requests, hosts);
    if (counts.trialSends + 1 > quota) return false;
    counts.trialSends++;
    return true;
  }

  /** Adds an answer; true if this host alone thereby decided to roll back. */
  addAnswer(answer: ObservedAnswer): boolean {
    this.counts.add(answer);
    if (!answer.isNew || this.isOver) return false;
    return this.counts.decide() === 'bad' && this.setPhase('rolled-back');
  }

  /** Creates this host's report on the rollout. */
  createReport(oldRunning: number): RolloutReport {
    return {
      service: this.order.service,
      revision: this.revision,
      phase: this.currentPhase,
      requests: this.counts.requests,
      trialSends: this.counts.trialSends,
      oldRunning,
      routes: this.counts.listRoutes(),
    };
  }

  /** Adds the report of a host. */
  addReport(host: string, report: RolloutReport): void {
    this.reports.set(host, report);
  }

  /**
   * Aggregates the reports of the hosts.
   *
   * @param hosts The hosts that take requests.
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
      phase: this.currentPhase,
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

  /** Undefined until all hosts have reported the current phase. */
  private countOldRunning(hosts: readonly string[]): number | undefined {
    let running = 0;
    for (const host of hosts) {
      const report = this.reports.get(host);
      if (report?.phase !== this.currentPhase) return undefined;
      running += report.oldRunning;
    }
    return running;
  }
}
