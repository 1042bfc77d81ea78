/**
 * One leg of an answer: one stream on one engine, from its order to its end
 * or loss. What it passes on goes through the assembler.
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
  Engine,
  EngineStream,
  StreamEvent,
  StreamOrder,
} from '@irisdock/endpoints';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {AnswerToken} from './answer_sink.js';
import {StallDetector, type StallKind} from './stall_detector.js';
import type {StreamMetrics} from './stream_metrics.js';

/** How a leg ended. */
export type AttemptResult =
  | {readonly kind: 'ended'; readonly reason: string}
  | {readonly kind: 'lost'; readonly loss: LossKind}
  /** `sent` tells whether the order may have reached the engine. */
  | {readonly kind: 'stopped'; readonly sent: boolean};

/** How patient a leg is. */
export interface AttemptOptions {
  readonly bounds: StallBounds;
  /** Bounds on the wait for a first token while the engine answers, in ms. */
  readonly minFirstTokenMs: number;
  readonly firstTokenMs: number;
  /** The longest that an engine may take to answer a probe, in ms. */
  readonly probeTimeoutMs: number;
}

/** What a leg works with. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly options: AttemptOptions;
  readonly metrics: StreamMetrics;
  readonly assembler: AnswerAssembler;
  readonly endpoint: EndpointRecord;
  readonly engine: Engine;
  /** Aborted when the caller is gone or another driver takes over. */
  readonly stop: AbortSignal;
  /** Called when the engine is silent for long, though it answers. */
  handleQuiet(): void;
  /** Called once the engine has accepted the order. */
  handleAccepted(): void;
  /** Passes tokens on; resolves when more can be taken. */
  handleTokens(tokens: readonly AnswerToken[]): Promise<void>;
}

/** Error kinds that say how an order was lost; the rest is a reset. */
const LOSSES: Partial<Record<EndpointErrorKind, LossKind>> = {
  endpoint_unreachable: 'unreachable',
  endpoint_full: 'refused',
  endpoint_superseded: 'superseded',
  endpoint_unknown_stream: 'gone',
};

/** Runs one leg. */
export class AnswerAttempt {
  private readonly abort = new AbortController();
  private readonly watch: StallDetector;
  private stall: StallKind | undefined;
  private hasToken = false;
  /** Whether the engine's last load says that this order may wait there. */
  private isQueued = false;
  private firstTokenMs: number;
  private promptChars = 0;

  constructor(private readonly parts: AttemptParts) {
    const {clock, engine, options} = parts;
    this.firstTokenMs = options.firstTokenMs;
    this.watch = new StallDetector({
      clock,
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
        // A full engine that makes tokens has not come to this order yet; one
        // whose streams stand still makes none for those that wait either.
        const {running, slots, queued} = load.value;
        const isFull = running >= slots && queued > 0;
        this.isQueued = isFull && !parts.endpoint.isQuiet;
        return true;
      },
      handleLoss: (kind) => {
        this.stall = kind;
        this.abort.abort();
      },
      handleQuiet: () => {
        if (!this.isQueued) parts.handleQuiet();
      },
    });
  }

  /** Runs the order to its end. */
  async run(order: StreamOrder): Promise<AttemptResult> {
    const {engine, stop, metrics} = this.parts;
    if (stop.aborted) return {kind: 'stopped', sent: false};
    metrics.orders.inc({mode: order.mode});
    this.startWatch(order);
    const cancel = (): void => {
      this.abort.abort();
    };
    stop.addEventListener('abort', cancel);
    try {
      const opened = await engine.openStream(order, this.abort.signal);
      if (opened.isErr()) return this.createOpenLoss(opened.error.kind);
      this.parts.handleAccepted();
      return await this.read(opened.value);
    } finally {
      this.watch.stop();
      stop.removeEventListener('abort', cancel);
    }
  }

  private startWatch(order: StreamOrder): void {
    const {minFirstTokenMs, firstTokenMs} = this.parts.options;
    const {serviceGaps} = this.parts.endpoint;
    this.promptChars = order.prompt.length + order.received.length;
    this.firstTokenMs = serviceGaps.getFirstTokenLimit({
      promptChars: this.promptChars,
      isResuming: order.mode !== 'start',
      minMs: minFirstTokenMs,
      maxMs: firstTokenMs,
    });
    this.watch.start();
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
      // The connection broke; what that means is told below.
    } finally {
      stream.close();
    }
    return this.createLoss(undefined);
  }

  private async handleBatch(
    batch: readonly StreamEvent[],
  ): Promise<AttemptResult | undefined> {
    const gapMs = this.watch.markActive();
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
    this.watch.pause();
    await this.parts.handleTokens(passed);
    this.watch.resume();
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
    const verdict: AssemblyDecision =
      event.type === 'token'
        ? assembler.acceptToken(event)
        : assembler.acceptEnd(event);
    if (verdict.action === 'pass') {
      passed.push({offset: verdict.offset, text: verdict.text});
    }
    if (verdict.action === 'drop') {
      metrics.dropped.inc({reason: verdict.reason});
    }
    if (verdict.action === 'lost') return {kind: 'lost', loss: 'gap'};
    if (verdict.action !== 'end') return undefined;
    return {kind: 'ended', reason: verdict.reason};
  }

  /** Creates the result of an order that got no stream. */
  private createOpenLoss(error: EndpointErrorKind): AttemptResult {
    if (error !== 'endpoint_unreachable') return this.createLoss(LOSSES[error]);
    // Nothing was sent, whoever ended the try.
    if (this.parts.stop.aborted) return {kind: 'stopped', sent: false};
    return {kind: 'lost', loss: 'unreachable'};
  }

  private createLoss(loss: LossKind | undefined): AttemptResult {
    if (this.stall !== undefined) return {kind: 'lost', loss: this.stall};
    if (this.parts.stop.aborted) return {kind: 'stopped', sent: true};
    return {kind: 'lost', loss: loss ?? 'reset'};
  }
}
