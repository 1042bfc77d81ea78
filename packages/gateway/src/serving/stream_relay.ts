/**
 * Runs one stream through other hosts while this host is partitioned from its
 * engines, and decides what follows when that fails.
 */
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {RelayedRequest, StreamResumption} from './request_relay.js';
import type {LeavableAttempt} from './relay_handover.js';
import type {Silence} from './silence_detector.js';
import {RelayedStream, type RelayedStreamResult} from './relayed_stream.js';
import type {ServingParts} from './serving_parts.js';
import {getAttemptDetail, type AttemptResult} from './stream_attempt.js';
import type {RetryDenial, StreamRetries} from './stream_retries.js';
import type {StreamSink} from './stream_sink.js';
import type {StreamVersion} from './stream_version.js';

/**
 * How long a started answer that another host relayed waits for a host that
 * takes it, in ms. The first host may know one that does.
 */
const MAX_RELAYED_SEARCH_MS = 1500;
/** The time between two searches, in ms; doubled with each in vain. */
const SEARCH_INTERVAL_MS = 50;
const MAX_SEARCH_INTERVAL_MS = 800;

/** The statuses by which a host states that a request has not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** What follows from an attempt through another host. */
export type StreamRelayStep =
  | {readonly kind: 'done'; readonly outcome: 'answered' | 'failed'}
  | {readonly kind: 'retry'}
  | {
      readonly kind: 'given-up';
      readonly detail: string;
      readonly denial: RetryDenial | undefined;
    };

/** Runs one stream through other hosts. */
export class StreamRelay {
  /** When the current wait for a host began. */
  private searchStart: number | undefined;
  /** How often the stream was refused since a host last took it. */
  private refusals = 0;
  /** How often the stream waited since a host last took it. */
  private waits = 0;
  private readonly stream: RelayedStream;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
    private readonly sink: StreamSink,
    private readonly retries: StreamRetries,
    private readonly version: StreamVersion,
  ) {
    this.stream = new RelayedStream({
      serving: parts,
      sink,
      retries: {
        findDenial: () => retries.findLeaveDenial(),
        take: () => parts.retryBudgets.takeRetry(service),
        record: (result) => {
          retries.record(result);
        },
      },
      createRequest: (running) => this.createRequest(running),
    });
  }

  /** Whether an attempt runs at another host that continues the stream. */
  get hasNext(): boolean {
    return this.stream.hasNext;
  }

  /** Starts to look for a host that goes on while an engine is silent. */
  startBeside(silent: LeavableAttempt, silence: Silence): void {
    if (this.request.exchange.hop !== undefined) return;
    this.stream.startBeside(silent, silence);
  }

  /** Ends the search, as the engine goes on or others can be reached. */
  stopBeside(): void {
    this.stream.stopBeside();
  }

  /** Runs the stream through another host. */
  async run(): Promise<StreamRelayStep> {
    const {sink} = this;
    if (!sink.isResumable) {
      const detail = 'the last event has no id';
      return {kind: 'given-up', detail, denial: 'position_unknown'};
    }
    if (!this.hasNext && !this.takeRetry()) return this.waitForHost();
    const result = await this.send();
    if (result.kind === 'ended') {
      sink.end();
      return {kind: 'done', outcome: 'answered'};
    }
    if (result.kind === 'failed' && this.isPassedOn(result.answer.status)) {
      this.request.exchange.sendAnswer(result.answer);
      return {kind: 'done', outcome: 'failed'};
    }
    if (isRefusal(result)) this.refusals++;
    if (isRefusal(result) || result.kind === 'none') return this.waitForHost();
    return this.decideRetry(result);
  }

  /** Takes a retry if the stream was refused: an engine may have seen it. */
  private takeRetry(): boolean {
    const {parts, service, refusals} = this;
    return refusals === 0 || parts.retryBudgets.takeRetry(service);
  }

  /** A refusal says that a stream has not run; an earlier run may have. */
  private isPassedOn(status: number): boolean {
    const {sink, retries} = this;
    if (sink.isStarted) return false;
    return !(retries.mayHaveRun && REFUSAL_STATUSES.has(status));
  }

  /** A relayed request is not relayed further. */
  private async send(): Promise<RelayedStreamResult> {
    if (this.request.exchange.hop !== undefined) return {kind: 'none'};
    return this.stream.run();
  }

  private createRequest(running: number): RelayedRequest {
    const {request, route, service, retries} = this;
    const maxRuns = route.maxAttempts - retries.runs - running;
    const resumption = this.findResumption();
    return {request, route, service, maxRuns, resumption};
  }

  private findResumption(): StreamResumption | undefined {
    const {lastEventId} = this.sink;
    if (lastEventId === undefined) return undefined;
    return {lastEventId, requestId: this.version.firstRequestId};
  }

  /** Lets a started answer wait; any other is refused at once. */
  private async waitForHost(): Promise<StreamRelayStep> {
    if (!this.isWaitAllowed()) {
      const detail = 'no other host took the stream';
      return {kind: 'given-up', detail, denial: undefined};
    }
    const {signal} = this.request.exchange;
    const waitMs = SEARCH_INTERVAL_MS * 2 ** this.waits;
    this.waits++;
    const {clock} = this.parts;
    await clock.wait(Math.min(waitMs, MAX_SEARCH_INTERVAL_MS), signal);
    return {kind: 'retry'};
  }

  /**
   * Whether the answer waits for a host. A host may take it at any time until
   * the time of the request is over.
   */
  private isWaitAllowed(): boolean {
    if (!this.sink.isStarted) return false;
    if (this.request.exchange.hop === undefined) return true;
    const now = this.parts.clock.getNow();
    this.searchStart ??= now;
    return now - this.searchStart < MAX_RELAYED_SEARCH_MS;
  }

  private decideRetry(result: AttemptResult): StreamRelayStep {
    this.searchStart = undefined;
    this.refusals = 0;
    this.waits = 0;
    this.sink.markFailover();
    this.retries.record(result);
    const denial = this.retries.findRetryDenial(result);
    if (denial === undefined) return {kind: 'retry'};
    return {kind: 'given-up', detail: getAttemptDetail(result), denial};
  }
}

/** Whether a host or its engine refused a stream, which has not run there. */
function isRefusal(result: RelayedStreamResult): boolean {
  return result.kind === 'failed' && REFUSAL_STATUSES.has(result.answer.status);
}
