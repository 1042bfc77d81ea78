/**
 * Drives one answer to its end: runs legs on engines, and after each loss
 * attaches again, goes on elsewhere, or gives up at once.
 */
import type {Clock, KnownError, Random} from '@irisdock/kernel';
import {
  AnswerAssembler,
  createGenerationNumber,
  createResumeData,
  decideLossResponse,
  isLossCounted,
  type LossKind,
  type RetryBudget,
  type Signer,
} from '@irisdock/decisions';
import type {StreamOrder} from '@irisdock/endpoints';
import {err, ok, type Result} from 'neverthrow';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import {DAEMON_ERRORS} from '../errors.js';
import type {Admission, AdmittedRequest} from '../services/admission.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import {AnswerLeg, type LegOptions, type LegResult} from './answer_leg.js';
import type {AnswerSink, PassedToken} from './answer_sink.js';
import type {EngineChooser} from './engine_chooser.js';
import {getEndpointOutcome, hasPerhapsRun} from './leg_verdict.js';
import type {RequestRecord} from './request_record.js';
import type {StreamMetrics} from './stream_metrics.js';
import {waitUnlessAborted} from './abortable_wait.js';

/** What a driver works with. */
export interface DriverParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly signer: Signer;
  readonly admission: Admission;
  readonly directory: EndpointDirectory;
  readonly chooser: EngineChooser;
  readonly budget: RetryBudget;
  readonly metrics: StreamMetrics;
  readonly legOptions: LegOptions;
  /** How long an endpoint is looked for after a loss, in ms. */
  readonly resumeWaitMs: number;
}

/** How a driver left its answer. */
export type DriveOutcome = 'ended' | 'failed' | 'stopped' | 'superseded';

const CHOOSE_AGAIN_MS = 20;
// Above every priority that can be declared.
const RESUMING_PRIORITY = 100;
/** Losses after which the engine may still be running the generation. */
const TO_CANCEL: ReadonlySet<LossKind> = new Set<LossKind>([
  'gap',
  // The order before may still be on its way to it.
  'gone',
  'reset',
  'silent',
  'stalled',
]);
/** Losses that say that the endpoint itself is lost. */
const ENDPOINT_LOST: ReadonlySet<LossKind> = new Set<LossKind>([
  'silent',
  'unreachable',
]);

/** Drives one answer for one caller. */
export class AnswerDriver {
  private readonly stop: AbortSignal;
  private readonly assembler: AnswerAssembler;
  private readonly avoid = new Set<string>();
  private readonly startedAt: number;
  private admitted: AdmittedRequest | undefined;
  private losses = 0;
  private attaches = 0;
  private lastTokenAt: number | undefined;
  private lostSince: number | undefined;
  /** Until when an endpoint is looked for, unless one takes the order. */
  private searchUntil: number | undefined;

  constructor(
    private readonly parts: DriverParts,
    private readonly record: RequestRecord,
    private readonly sink: AnswerSink,
  ) {
    this.stop = AbortSignal.any([sink.signal, record.lock.signal]);
    this.startedAt = parts.clock.getNow();
    const {request, generation, nextOffset} = record;
    this.assembler = new AnswerAssembler(request.id, generation, nextOffset);
  }

  /**
   * Sends what is kept from an offset on, then drives to the end.
   *
   * @param attachTo The endpoint that may still run the generation.
   */
  async run(
    fromOffset: number,
    attachTo: EndpointRecord | undefined,
  ): Promise<DriveOutcome> {
    await this.sendKept(fromOffset);
    if (this.record.state === 'ended') return this.end(this.record.endReason);
    try {
      return await this.runLegs(attachTo);
    } finally {
      this.admitted?.release();
    }
  }

  private async sendKept(fromOffset: number): Promise<void> {
    const texts = this.record.getTokensFrom(fromOffset);
    if (texts.length === 0 && this.record.state !== 'ended') return;
    const first = Math.max(fromOffset, this.record.firstOffset);
    this.sink.setResume(this.createResume());
    if (texts.length === 0) return;
    const tokens = texts.map((text, at) => ({offset: first + at, text}));
    await this.write(tokens);
  }

  private async runLegs(
    attachTo: EndpointRecord | undefined,
  ): Promise<DriveOutcome> {
    let attach = attachTo;
    for (;;) {
      const found =
        attach === undefined ? await this.findEndpoint() : ok(attach);
      if (this.stop.aborted) {
        if (attach === undefined && found.isOk()) {
          found.value.endRequest('neutral');
        }
        return 'stopped';
      }
      if (found.isErr()) return this.fail(found.error);
      const endpoint = found.value;
      if (attach !== undefined) endpoint.startRequest();
      const result = await this.runLeg(endpoint, attach !== undefined);
      if (result.kind === 'ended') return this.end(result.reason);
      if (result.kind === 'stopped') return 'stopped';
      const next = this.decideNext(endpoint, result.loss);
      if (next === 'abandon') return 'superseded';
      if (typeof next !== 'string') return this.fail(next);
      attach = next === 'attach' ? endpoint : undefined;
    }
  }

  /** Finds an engine: in the queue's order at first, before it after a loss. */
  private async findEndpoint(): Promise<Result<EndpointRecord, KnownError>> {
    if (this.admitted === undefined && !this.record.mayHaveRun) {
      const admitted = await this.parts.admission.submit(this.createEntry());
      if (admitted.isErr()) return err(admitted.error);
      this.admitted = admitted.value;
      return ok(admitted.value.endpoint);
    }
    const bar = this.findBar();
    if (bar !== undefined) return err(bar);
    const {clock, chooser, resumeWaitMs} = this.parts;
    this.searchUntil ??= clock.getNow() + resumeWaitMs;
    while (!this.stop.aborted && clock.getNow() < this.searchUntil) {
      const resuming = this.record.mayHaveRun;
      const endpoint = chooser.choose({avoid: this.avoid, resuming});
      endpoint?.startRequest();
      if (endpoint !== undefined) return ok(endpoint);
      await clock.wait(CHOOSE_AGAIN_MS, this.stop);
    }
    return err(this.createGiveUp('no endpoint'));
  }

  /** Gives the reason why an answer that began may not go on elsewhere. */
  private findBar(): KnownError | undefined {
    const {record} = this;
    if (!record.mayHaveRun) return undefined;
    if (!this.mayContinue) return this.createGiveUp('not repeatable');
    if (record.text !== undefined) return undefined;
    return DAEMON_ERRORS.create('resume_text_needed', {}, 1);
  }

  private get mayContinue(): boolean {
    const {repeatable, spec} = this.record.request;
    return repeatable || spec.continuation === 'allowed';
  }

  private createEntry(): Parameters<Admission['submit']>[0] {
    const {id, service, team, weight, maxTokens, spec, maxInFlight} =
      this.record.request;
    return {
      id,
      service,
      team,
      weight,
      cost: maxTokens,
      maxQueue: spec.maxQueue,
      maxQueueMs: this.record.request.maxQueueMs,
      maxInFlight,
      signal: this.stop,
      chooseEndpoint: () =>
        this.parts.chooser.choose({avoid: this.avoid, resuming: false}),
    };
  }

  private async runLeg(
    endpoint: EndpointRecord,
    attaching: boolean,
  ): Promise<LegResult> {
    const {engine} = endpoint.clients;
    if (engine === undefined) return {kind: 'lost', loss: 'unreachable'};
    const {record, parts} = this;
    const order = this.createOrder(attaching);
    record.endpoint = endpoint.address;
    this.assembler.setGeneration(order.generation);
    const leg = new AnswerLeg({
      clock: parts.clock,
      options: parts.legOptions,
      metrics: parts.metrics,
      assembler: this.assembler,
      endpoint,
      engine,
      stop: this.stop,
      handleQuiet: () => {
        parts.directory.reportStall(endpoint);
      },
      handleAccepted: () => {
        this.searchUntil = undefined;
        this.sink.setResume(this.createResume());
      },
      handleTokens: (tokens) => this.passOn(tokens),
    });
    const result = await leg.run(order);
    if (hasPerhapsRun(result)) record.mayHaveRun = true;
    endpoint.endRequest(getEndpointOutcome(result));
    return result;
  }

  private createOrder(attaching: boolean): StreamOrder {
    const {record} = this;
    const {request} = record;
    record.attempts++;
    record.generation = createGenerationNumber(
      record.takeover,
      record.attempts,
    );
    const fresh = record.mayHaveRun ? 'continue' : 'start';
    return {
      mode: attaching ? 'attach' : fresh,
      request: request.id,
      generation: record.generation,
      prompt: request.prompt,
      received: attaching ? '' : (record.text ?? ''),
      offset: record.nextOffset,
      maxTokens: request.maxTokens,
      priority: request.priority + (record.mayHaveRun ? RESUMING_PRIORITY : 0),
      model: request.spec.modelVersion,
      ...(request.adapter === undefined ? {} : {adapter: request.adapter}),
    };
  }

  private async passOn(tokens: readonly PassedToken[]): Promise<void> {
    const {clock, metrics} = this.parts;
    const now = clock.getNow();
    if (this.record.nextOffset === 0) {
      metrics.firstTokenSeconds.observe((now - this.startedAt) / 1000);
    }
    if (this.lostSince !== undefined) {
      metrics.resumeSeconds.observe((now - this.lostSince) / 1000);
      this.lostSince = undefined;
    }
    for (const {text} of tokens) this.record.addToken(text);
    metrics.tokens.inc(tokens.length);
    this.lastTokenAt = now;
    this.losses = 0;
    this.attaches = 0;
    await this.write(tokens);
  }

  /**
   * Writes to the caller. A caller that reads no more, its connection half
   * open, must not hold up the newer connection by which it came back.
   */
  private async write(tokens: readonly PassedToken[]): Promise<void> {
    const written = this.sink.write(tokens);
    if (written === undefined) return;
    await waitUnlessAborted(written, this.stop);
  }

  /** Decides what follows a loss; an error is the reason to give up. */
  private decideNext(
    endpoint: EndpointRecord,
    loss: LossKind,
  ): KnownError | 'abandon' | 'attach' | 'continue' {
    const {metrics, budget, clock, directory} = this.parts;
    const {record} = this;
    metrics.losses.inc({kind: loss});
    this.lostSince ??= this.lastTokenAt ?? clock.getNow();
    if (ENDPOINT_LOST.has(loss)) directory.reportLost(endpoint, loss);
    // The first try after a loss is always made; more come from the budget.
    const isCounted = isLossCounted(loss, record.mayHaveRun);
    const isFree = !isCounted || this.losses === 0;
    const budgetLeft = isFree || budget.takeRetry(clock.getNow());
    const response = decideLossResponse({
      loss,
      mayHaveRun: record.mayHaveRun,
      mayContinue: this.mayContinue,
      attachAttempts: this.attaches,
      losses: this.losses,
      hasRetryBudget: budgetLeft,
    });
    if (isCounted) this.losses++;
    if (response === 'abandon') return 'abandon';
    if (response === 'attach') {
      this.attaches++;
      return 'attach';
    }
    if (response !== 'continue') return this.createGiveUp(loss);
    this.avoid.add(endpoint.address);
    this.cancelLost(endpoint, loss);
    return 'continue';
  }

  /** Stops a lost generation, should its engine still run it. */
  private cancelLost(endpoint: EndpointRecord, loss: LossKind): void {
    const {engine} = endpoint.clients;
    if (engine === undefined || !TO_CANCEL.has(loss)) return;
    const {record, parts} = this;
    const below = createGenerationNumber(record.takeover, record.attempts + 1);
    void engine.cancel(record.request.id, below).then((result) => {
      const stalled = loss === 'silent' || loss === 'stalled';
      if (stalled && result.isOk()) parts.metrics.falseAlarms.inc();
    });
  }

  private createGiveUp(loss: string): KnownError {
    const {service} = this.record.request;
    if (!this.record.mayHaveRun) {
      return DAEMON_ERRORS.create('no_endpoint', {service}, 1);
    }
    return DAEMON_ERRORS.create('generation_lost', {loss}, 1);
  }

  private createResume(): string {
    const {request, generation, endpoint, name: record} = this.record;
    const {id, digest} = request;
    const data = {request: id, generation, endpoint, digest, record};
    return createResumeData(data, this.parts.signer);
  }

  private end(reason: string): DriveOutcome {
    const {record} = this;
    record.state = 'ended';
    record.endReason = reason;
    this.sink.end({reason, count: record.nextOffset});
    return 'ended';
  }

  private fail(error: KnownError): DriveOutcome {
    // Another of the caller's connections goes on with it: then no word of
    // this one says that it was not run.
    const isTaken = this.record.lock.isWanted;
    this.sink.fail(isTaken ? createTakenUp() : error);
    return 'failed';
  }
}

/** Creates the answer to a caller whose newer connection took over. */
export function createTakenUp(): KnownError {
  return DAEMON_ERRORS.create('answer_taken_up', {}, 1);
}
