/**
 * One endpoint as this host sees it: what it reported, what was sent to it
 * since, how its streams fared, and the client to speak to it with.
 */
import type {Clock} from '@irisdock/kernel';
import type {ServiceGaps} from './service_gaps.js';
import {GapStatistics, type EndpointView} from '@irisdock/decisions';
import type {
  Engine,
  EndpointError,
  LoadReport,
  PlainEndpoint,
} from '@irisdock/endpoints';

/** The clients of an endpoint; one of the two is there. */
export interface EndpointClients {
  readonly engine?: Engine;
  readonly plain?: PlainEndpoint;
}

/** How a request to an endpoint ended, for its health. */
export type EndpointOutcome = 'done' | 'lost' | 'neutral' | 'stalled';

interface SentMark {
  readonly at: number;
  readonly delta: 1 | -1;
}

const LOSS_WEIGHT = 0.1;
const STALL_WEIGHT = 0.5;
const MAX_MISSES = 2;
/** How long an endpoint counts as quiet, unless it makes a token. */
const QUIET_MS = 3000;

/** An endpoint of a service. */
export class EndpointRecord {
  readonly gaps = new GapStatistics();
  /** The sequence of the last cache event that was read. */
  cacheSequence = 0;
  isLeaving = false;
  private report: LoadReport | undefined;
  private reportTakenAt = -Infinity;
  private marks: SentMark[] = [];
  private inFlight = 0;
  private lossRate = 0;
  private misses = MAX_MISSES;
  private quietUntil = -Infinity;

  constructor(
    readonly address: string,
    readonly service: string,
    readonly failureDomain: string,
    readonly clients: EndpointClients,
    readonly serviceGaps: ServiceGaps,
    private readonly clock: Clock,
    private readonly onRoom: (service: string) => void,
  ) {}

  /** Whether the last looks at it were answered. */
  get isAnswering(): boolean {
    return this.misses < MAX_MISSES;
  }

  /** Whether a stream there is silent though it answers, by what was told. */
  get isQuiet(): boolean {
    return this.clock.getNow() < this.quietUntil;
  }

  /** Whether nothing of this host runs there. */
  get isIdle(): boolean {
    return this.inFlight === 0;
  }

  /** Models and adapters it has by its last report. */
  get loaded(): {models: readonly string[]; adapters: readonly string[]} {
    return this.report ?? {models: [], adapters: []};
  }

  /** Notes that a request is sent to it. */
  startRequest(): void {
    this.inFlight++;
    this.marks.push({at: this.clock.getNow(), delta: 1});
  }

  /** Notes how a request ended. */
  endRequest(outcome: EndpointOutcome): void {
    this.inFlight--;
    this.marks.push({at: this.clock.getNow(), delta: -1});
    if (outcome !== 'neutral') {
      // One that answers but makes no tokens shows it in nothing else.
      const weight = outcome === 'stalled' ? STALL_WEIGHT : LOSS_WEIGHT;
      const lost = outcome === 'done' ? 0 : 1;
      this.lossRate += weight * (lost - this.lossRate);
    }
    this.onRoom(this.service);
  }

  /** Takes a load report, unless a newer one is known. */
  applyReport(report: LoadReport): void {
    const takenAt = this.clock.getNow() - report.ageMs;
    if (takenAt < this.reportTakenAt) return;
    this.reportTakenAt = takenAt;
    this.report = report;
    this.misses = 0;
    this.marks = this.marks.filter((mark) => mark.at > takenAt);
    this.onRoom(this.service);
  }

  /** Notes that a look at it failed; tells whether it counts as lost now. */
  applyMiss(error: EndpointError): boolean {
    const wasAnswering = this.isAnswering;
    const refused = error.kind === 'endpoint_unreachable';
    this.misses = refused ? MAX_MISSES : Math.min(MAX_MISSES, this.misses + 1);
    return wasAnswering && !this.isAnswering;
  }

  /** Notes that another host saw it lost: one missed look is then enough. */
  markSuspect(): void {
    this.misses = Math.max(this.misses, MAX_MISSES - 1);
  }

  /** Notes that it certainly does not answer now; tells whether that is new. */
  markLost(): boolean {
    const wasAnswering = this.isAnswering;
    this.misses = MAX_MISSES;
    return wasAnswering;
  }

  /** Notes that a stream there is silent, though it answers. */
  markQuiet(): void {
    this.quietUntil = this.clock.getNow() + QUIET_MS;
  }

  /** Notes that a stream there got a token. */
  markProgress(): void {
    this.quietUntil = -Infinity;
  }

  /** Gives what the choice of an endpoint looks at. */
  getView(): EndpointView {
    const {report} = this;
    let sentSinceReport = 0;
    for (const mark of this.marks) sentSinceReport += mark.delta;
    return {
      address: this.address,
      failureDomain: this.failureDomain,
      isAnswering: this.isAnswering,
      isQuiet: this.isQuiet,
      lossRate: this.lossRate,
      slots: report?.slots ?? 1,
      reportedLoad: (report?.running ?? 0) + (report?.queued ?? 0),
      sentSinceReport,
      inFlight: this.inFlight,
    };
  }

  /** Closes its connections. */
  async close(): Promise<void> {
    await this.clients.engine?.close();
    await this.clients.plain?.close();
  }
}
