/**
 * One attempt of an answer: one stream on one engine, from its order to its
 * end or loss. Its tokens pass through the assembler, which drops duplicates
 * and detects gaps.
 */
import type {Clock} from '@irisdock/kernel';
import type {
  AnswerAssembler,
  LossKind,
  StallBounds,
  AssemblyDecision,
} from '@irisdock/decisions';
import type {
  EndpointErrorKind,
  EndpointError,
  Engine,
  EngineStream,
  StreamEvent,
  StreamOrder,
} from '@irisdock/endpoints';
import type {Result} from 'neverthrow';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {AnswerToken} from './answer_sink.js';
import {getOpenLoss} from './attempt_outcome.js';
import {StallDetector, type StallKind} from './stall_detector.js';
import type {StreamMetrics} from './stream_metrics.js';

/** How an attempt ended. */
export type AttemptResult =
  | {readonly kind: 'ended'; readonly reason: string}
  | {readonly kind: 'lost'; readonly loss: LossKind}
  /** `sent`: whether the order may have reached the engine. */
  | {readonly kind: 'stopped'; readonly sent: boolean};

/** Time limits of an attempt. */
export interface AttemptOptions {
  readonly bounds: StallBounds;
  /** Bounds on the wait for a first token while probes are answered, in ms. */
  readonly minFirstTokenMs: number;
  readonly firstTokenMs: number;
  /** The time limit of a probe, in ms. */
  readonly probeTimeoutMs: number;
  /** How long a silent engine is kept if no other takes the answer, in ms. */
  readonly maxSilenceMs: number;
}

/** Where the stream of an attempt comes from. */
export interface AttemptSource {
  readonly order: StreamOrder;
  /** When the order was sent, on the clock. */
  readonly sentAt: number;
  /** Opens the stream; resolves when the engine has accepted the order. */
  open(signal: AbortSignal): Promise<Result<EngineStream, EndpointError>>;
}

/** The dependencies and callbacks of an attempt. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly options: AttemptOptions;
  readonly metrics: StreamMetrics;
  readonly assembler: AnswerAssembler;
  readonly endpoint: EndpointRecord;
  readonly engine: Engine;
  /** Aborted when the caller disconnects or another driver takes over. */
  readonly stop: AbortSignal;
  /** Called when the stream makes no progress though probes are answered. */
  handleQuiet(): void;
  /** Leaves a silent engine; false if no other can take the answer over. */
  tryLeave(kind: StallKind, isSilent: () => boolean): Promise<boolean>;
  /** Called once the engine has accepted the order. */
  handleAccepted(): void;
  /** Passes tokens to the caller; resolves when it can take more. */
  handleTokens(tokens: readonly AnswerToken[]): Promise<void>;
}

/** Runs one attempt. */
export class AnswerAttempt {
  private readonly abortController = new AbortController();
  private readonly stallDetector: StallDetector;
  private stall: StallKind | undefined;
  private hasToken = false;
  /** Whether the order may be queued there, by the engine's last load. */
  private isQueued = false;
  private firstTokenMs: number;
  private promptChars = 0;

  constructor(private readonly parts: AttemptParts) {
    const {clock, engine, options} = parts;
    this.firstTokenMs = options.firstTokenMs;
    this.stallDetector = new StallDetector({
      clock,
      maxSilenceMs: options.maxSilenceMs,
      getLimits: () => {
        const {gaps, serviceGaps} = parts.endpoint;
        const limits = serviceGaps.getLimits(gaps, options.bounds);
        if (this.hasToken) return limits;
        const lostMs = this.isQueued ? options.firstTokenMs : this.firstTokenMs;
        return {...limits, lostMs};
      },
      probe: async () => {
        const load = await engine.getLoad(options.probeTimeoutMs);
        if (load.isErr()) return false;
        // On a full engine that generates tokens the order is still queued. If
        // the engine's streams have stalled, queued orders stall as well.
        const {running, slots, queued} = load.value;
        const isFull = running >= slots && queued > 0;
        this.isQueued = isFull && !parts.endpoint.isQuiet;
        return true;
      },
      tryLeave: (kind, isSilent) => parts.tryLeave(kind, isSilent),
      handleLoss: (kind) => {
        this.stall = kind;
        this.abortController.abort();
      },
      handleQuiet: () => {
        if (!this.isQueued) parts.handleQuiet();
      },
    });
  }

  /** Opens the stream and reads it to the end or to its loss. */
  async run(source: AttemptSource): Promise<AttemptResult> {
    const {stop} = this.parts;
    if (stop.aborted) return {kind: 'stopped', sent: false};
    this.startStallDetector(source);
    const cancel = (): void => {
      this.abortController.abort();
    };
    stop.addEventListener('abort', cancel);
    try {
      const opened = await source.open(this.abortController.signal);
      if (opened.isErr()) return this.createOpenLoss(opened.error.kind);
      this.parts.handleAccepted();
      return await this.read(opened.value);
    } finally {
      this.stallDetector.stop();
      stop.removeEventListener('abort', cancel);
    }
  }

  private startStallDetector({order, sentAt}: AttemptSource): void {
    const {minFirstTokenMs, firstTokenMs} = this.parts.options;
    const {serviceGaps} = this.parts.endpoint;
    this.promptChars = order.prompt.length + order.received.length;
    this.firstTokenMs = serviceGaps.getFirstTokenLimit({
      promptChars: this.promptChars,
      isResuming: order.mode !== 'start',
      minMs: minFirstTokenMs,
      maxMs: firstTokenMs,
    });
    this.stallDetector.start(sentAt);
  }

  private recordGap(gapMs: number): void {
    const {gaps, serviceGaps} = this.parts.endpoint;
    if (!this.hasToken) {
      serviceGaps.recordFirstToken(gapMs, this.promptChars);
      return;
    }
    gaps.record(gapMs);
    serviceGaps.recordGap(gapMs);
  }

  private async read(stream: EngineStream): Promise<AttemptResult> {
    try {
      for await (const batch of stream.batches) {
        const result = await this.handleBatch(batch);
        if (result !== undefined) return result;
      }
    } catch {
      // The connection broke; createLoss() below determines the loss.
    } finally {
      stream.close();
    }
    return this.createLoss(undefined);
  }

  private async handleBatch(
    batch: readonly StreamEvent[],
  ): Promise<AttemptResult | undefined> {
    const gapMs = this.stallDetector.markActive();
    this.parts.endpoint.markProgress();
    this.recordGap(gapMs);
    const passed: AnswerToken[] = [];
    let result: AttemptResult | undefined;
    for (const event of batch) {
      result = this.handleEvent(event, passed);
      if (result !== undefined) break;
    }
    if (passed.length === 0) return result;
    this.hasToken = true;
    this.stallDetector.pause();
    await this.parts.handleTokens(passed);
    this.stallDetector.resume();
    return result;
  }

  private handleEvent(
    event: StreamEvent,
    passed: AnswerToken[],
  ): AttemptResult | undefined {
    const {assembler, metrics} = this.parts;
    if (event.type === 'superseded') {
      return {kind: 'lost', loss: 'superseded'};
    }
    const decision: AssemblyDecision =
      event.type === 'token'
        ? assembler.acceptToken(event)
        : assembler.acceptEnd(event);
    if (decision.action === 'pass') {
      passed.push({offset: decision.offset, text: decision.text});
    }
    if (decision.action === 'drop') {
      metrics.dropped.inc({reason: decision.reason});
    }
    if (decision.action === 'lost') return {kind: 'lost', loss: 'gap'};
    if (decision.action !== 'end') return undefined;
    return {kind: 'ended', reason: decision.reason};
  }

  /** Creates the result of an order whose stream could not be opened. */
  private createOpenLoss(error: EndpointErrorKind): AttemptResult {
    const loss = getOpenLoss(error);
    if (loss !== 'unreachable') return this.createLoss(loss);
    // Nothing was sent, no matter which side ended the attempt.
    if (this.parts.stop.aborted) return {kind: 'stopped', sent: false};
    return {kind: 'lost', loss};
  }

  private createLoss(loss: LossKind | undefined): AttemptResult {
    if (this.stall !== undefined) return {kind: 'lost', loss: this.stall};
    if (this.parts.stop.aborted) return {kind: 'stopped', sent: true};
    return {kind: 'lost', loss: loss ?? 'reset'};
  }
}
