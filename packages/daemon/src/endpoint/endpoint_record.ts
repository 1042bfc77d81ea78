/**
 * One endpoint as this host sees it: its last load report, the requests sent to
 * it since, the outcomes of its requests, and its client.
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

/** The clients of an endpoint; exactly one of them is set. */
export interface EndpointClients {
  readonly engine?: Engine;
  readonly plain?: PlainEndpoint;
}

/** How a request to an endpoint ended, as it affects the endpoint's health. */
export type EndpointOutcome = 'done' | 'lost' | 'neutral' | 'stalled';

/** A change of the number of requests in flight there. */
interface LoadChange {
  readonly at: number;
  readonly delta: 1 | -1;
}

// Weights of one request's outcome in the moving average of the loss rate.
const LOSS_WEIGHT = 0.1;
const STALL_WEIGHT = 0.5;
/** Missed polls from which on an endpoint counts as not answering. */
const MAX_MISSED_POLLS = 2;
/** How long an endpoint counts as quiet unless it generates a token. */
const QUIET_MS = 3000;

/** An endpoint of a service. */
export class EndpointRecord {
  readonly gaps = new GapStatistics();
  /** The sequence number of the last cache event read. */
  cacheSequence = 0;
  isLeaving = false;
  private report: LoadReport | undefined;
  private reportTakenAt = -Infinity;
  private loadChanges: LoadChange[] = [];
  private inFlight = 0;
  private lossRate = 0;
  private missedPolls = MAX_MISSED_POLLS;
  private quietUntil = -Infinity;

  constructor(
    readonly address: string,
    readonly service: string,
    readonly failureDomain: string,
    readonly clients: EndpointClients,
    readonly serviceGaps: ServiceGaps,
    private readonly clock: Clock,
    private readonly handleCapacity: (service: string) => void,
  ) {}

  /** Whether it answered the last polls. */
  get isAnswering(): boolean {
    return this.missedPolls < MAX_MISSED_POLLS;
  }

  /** Whether a stream was recently reported to make no progress there. */
  get isQuiet(): boolean {
    return this.clock.getNow() < this.quietUntil;
  }

  /** Whether this host has no requests in flight there. */
  get isIdle(): boolean {
    return this.inFlight === 0;
  }

  /** The models and adapters it had loaded by its last report. */
  get loaded(): {models: readonly string[]; adapters: readonly string[]} {
    return this.report ?? {models: [], adapters: []};
  }

  /** Records that a request is sent to it. */
  startRequest(): void {
    this.inFlight++;
    this.loadChanges.push({at: this.clock.getNow(), delta: 1});
  }

  /** Records how a request ended. */
  endRequest(outcome: EndpointOutcome): void {
    this.inFlight--;
    this.loadChanges.push({at: this.clock.getNow(), delta: -1});
    if (outcome !== 'neutral') {
      // An engine that answers polls but generates no tokens is recognized by
      // its stalled streams only, so they weigh more.
      const weight = outcome === 'stalled' ? STALL_WEIGHT : LOSS_WEIGHT;
      const lost = outcome === 'done' ? 0 : 1;
      this.lossRate += weight * (lost - this.lossRate);
    }
    this.handleCapacity(this.service);
  }

  /** Applies a load report unless a newer one is known. */
  applyReport(report: LoadReport): void {
    const takenAt = this.clock.getNow() - report.ageMs;
    if (takenAt < this.reportTakenAt) return;
    this.reportTakenAt = takenAt;
    this.report = report;
    this.missedPolls = 0;
    this.loadChanges = this.loadChanges.filter((change) => change.at > takenAt);
    this.handleCapacity(this.service);
  }

  /** Records a failed poll; returns whether the endpoint now becomes lost. */
  applyMiss(error: EndpointError): boolean {
    const wasAnswering = this.isAnswering;
    const refused = error.kind === 'endpoint_unreachable';
    this.missedPolls = refused
      ? MAX_MISSED_POLLS
      : Math.min(MAX_MISSED_POLLS, this.missedPolls + 1);
    return wasAnswering && !this.isAnswering;
  }

  /** Records that another host lost it; one missed poll is then enough. */
  markSuspect(): void {
    this.missedPolls = Math.max(this.missedPolls, MAX_MISSED_POLLS - 1);
  }

  /** Records that it does not answer; returns whether that is new. */
  markLost(): boolean {
    const wasAnswering = this.isAnswering;
    this.missedPolls = MAX_MISSED_POLLS;
    return wasAnswering;
  }

  /** Records that a stream makes no progress though the endpoint answers. */
  markQuiet(): void {
    this.quietUntil = this.clock.getNow() + QUIET_MS;
  }

  /** Records that a stream from the endpoint received an event. */
  markProgress(): void {
    this.quietUntil = -Infinity;
  }

  /** Returns the view of it on which the choice of an endpoint is based. */
  getView(): EndpointView {
    const {report} = this;
    let sentSinceReport = 0;
    for (const change of this.loadChanges) sentSinceReport += change.delta;
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
