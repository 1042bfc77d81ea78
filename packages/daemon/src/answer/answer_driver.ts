/**
 * Drives one answer to its end through successive attempts on engines. After
 * a lost attempt it attaches to the generation again, continues on another
 * engine, or fails the answer. A silent engine is left once the next attempt
 * continues the answer.
 */
import type {Clock, KnownError, Random} from '@irisdock/kernel';
import {
  AnswerAssembler,
  createResumeData,
  type LossKind,
  type RetryBudget,
  type Signer,
} from '@irisdock/decisions';
import type {Engine} from '@irisdock/endpoints';
import {err, ok, type Result} from 'neverthrow';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import {DAEMON_ERRORS} from '../errors.js';
import type {Admission, AdmittedRequest} from '../services/admission.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import {
  AnswerAttempt,
  type AttemptOptions,
  type AttemptResult,
  type AttemptSource,
} from './answer_attempt.js';
import {AnswerRetries} from './answer_retries.js';
import type {AnswerSink, AnswerToken} from './answer_sink.js';
import type {EngineChooser} from './engine_chooser.js';
import {getEndpointOutcome, hasPossiblyRun} from './attempt_outcome.js';
import {EngineHandover} from './engine_handover.js';
import {cancelLost, reportLoss} from './lost_attempt.js';
import type {NextAttempt} from './next_attempt.js';
import type {RequestRecord} from './request_record.js';
import type {StreamMetrics} from './stream_metrics.js';
import {createOrder} from './stream_order.js';
import {waitUnlessAborted} from './abortable_wait.js';

/** The dependencies and options of a driver. */
export interface DriverParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly signer: Signer;
  readonly admission: Pick<Admission, 'submit'>;
  readonly directory: Pick<EndpointDirectory, 'reportLost' | 'reportStall'>;
  readonly chooser: Pick<EngineChooser, 'choose'>;
  readonly budget: RetryBudget;
  readonly metrics: StreamMetrics;
  readonly attemptOptions: AttemptOptions;
  /** How long to search for an endpoint after a loss, in ms. */
  readonly resumeWaitMs: number;
}

/** The state in which a driver left its answer. */
export type DriveOutcome = 'ended' | 'failed' | 'stopped' | 'superseded';

const CHOOSE_RETRY_MS = 20;

/** Drives one answer for one caller. */
export class AnswerDriver {
  private readonly stop: AbortSignal;
  private readonly assembler: AnswerAssembler;
  private readonly retries: AnswerRetries;
  private readonly handover: EngineHandover;
  private readonly startedAt: number;
  private admitted: AdmittedRequest | undefined;
  private lastTokenAt: number | undefined;
  private lostSince: number | undefined;
  /** End of the search for an endpoint; unset when an order is accepted. */
  private searchUntil: number | undefined;

  constructor(
    private readonly parts: DriverParts,
    private readonly record: RequestRecord,
    private readonly sink: AnswerSink,
  ) {
    this.stop = AbortSignal.any([sink.signal, record.lock.signal]);
    this.startedAt = parts.clock.getNow();
    this.retries = new AnswerRetries(parts, record);
    const {request, generation, nextOffset} = record;
    this.assembler = new AnswerAssembler(request.id, generation, nextOffset);
    const {retries, assembler} = this;
    this.handover = new EngineHandover({...parts, record, retries, assembler});
  }

  /**
   * Sends the recorded tokens from an offset on, then runs attempts.
   *
   * @param attachTo The endpoint that may still be running the generation.
   */
  async run(
    fromOffset: number,
    attachTo: EndpointRecord | undefined,
  ): Promise<DriveOutcome> {
    await this.sendRecorded(fromOffset);
    if (this.record.state === 'ended') return this.end(this.record.endReason);
    try {
      return await this.runAttempts(attachTo);
    } finally {
      this.handover.dropNext();
      this.admitted?.release();
    }
  }

  private async sendRecorded(fromOffset: number): Promise<void> {
    const texts = this.record.getTokensFrom(fromOffset);
    if (texts.length === 0 && this.record.state !== 'ended') return;
    const first = Math.max(fromOffset, this.record.firstOffset);
    this.sink.setResume(this.createResume());
    if (texts.length === 0) return;
    const tokens = texts.map((text, at) => ({offset: first + at, text}));
    await this.write(tokens);
  }

  private async runAttempts(
    attachTo: EndpointRecord | undefined,
  ): Promise<DriveOutcome> {
    let attach = attachTo;
    for (;;) {
      const {next} = this.handover;
      const known = next?.endpoint ?? attach;
      const found = known === undefined ? await this.findEndpoint() : ok(known);
      if (this.stop.aborted) {
        if (known === undefined && found.isOk()) {
          found.value.endRequest('neutral');
        }
        return 'stopped';
      }
      if (found.isErr()) return this.fail(found.error);
      const endpoint = found.value;
      if (attach !== undefined) endpoint.startRequest();
      this.handover.takeNext();
      const result = await this.runAttempt(
        endpoint,
        attach !== undefined,
        next,
      );
      if (result.kind === 'ended') return this.end(result.reason);
      if (result.kind === 'stopped') return 'stopped';
      const response = this.decideNext(endpoint, result.loss);
      if (response === 'abandon') return 'superseded';
      if (typeof response !== 'string') return this.fail(response);
      attach = response === 'attach' ? endpoint : undefined;
      if (attach !== undefined) await this.waitToAttach();
    }
  }

  private async waitToAttach(): Promise<void> {
    const {attachPauseMs} = this.retries;
    if (attachPauseMs === 0) return;
    await this.parts.clock.wait(attachPauseMs, this.stop);
  }

  /** Finds an engine: by the queue at first, ahead of it after a loss. */
  private async findEndpoint(): Promise<Result<EndpointRecord, KnownError>> {
    if (this.admitted === undefined && !this.record.mayHaveRun) {
      const admitted = await this.parts.admission.submit(this.createEntry());
      if (admitted.isErr()) return err(admitted.error);
      this.admitted = admitted.value;
      return ok(admitted.value.endpoint);
    }
    const refusal = this.findContinuationError();
    if (refusal !== undefined) return err(refusal);
    const {clock, chooser, resumeWaitMs} = this.parts;
    this.searchUntil ??= clock.getNow() + resumeWaitMs;
    while (!this.stop.aborted && clock.getNow() < this.searchUntil) {
      const resuming = this.record.mayHaveRun;
      const endpoint = chooser.choose({avoid: this.retries.avoided, resuming});
      endpoint?.startRequest();
      if (endpoint !== undefined) return ok(endpoint);
      await clock.wait(CHOOSE_RETRY_MS, this.stop);
    }
    return err(this.createFinalError('no endpoint'));
  }

  /** Returns why a started answer must not be continued elsewhere, if so. */
  private findContinuationError(): KnownError | undefined {
    const {record} = this;
    if (!record.mayHaveRun) return undefined;
    if (!this.retries.mayContinue) {
      return this.createFinalError('not repeatable');
    }
    if (record.text !== undefined) return undefined;
    return DAEMON_ERRORS.create('resume_text_needed', {}, 1);
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
        this.parts.chooser.choose({
          avoid: this.retries.avoided,
          resuming: false,
        }),
    };
  }

  /** @param next The attempt on this endpoint, if it has been sent already. */
  private async runAttempt(
    endpoint: EndpointRecord,
    attaching: boolean,
    next: NextAttempt | undefined,
  ): Promise<AttemptResult> {
    const {engine} = endpoint.clients;
    if (engine === undefined) return {kind: 'lost', loss: 'unreachable'};
    const {record, parts} = this;
    const source = next ?? this.createSource(engine, attaching);
    const {generation} = source.order;
    record.endpoint = endpoint.address;
    record.generation = generation;
    this.assembler.setGeneration(generation);
    const attempt = new AnswerAttempt({
      clock: parts.clock,
      options: parts.attemptOptions,
      metrics: parts.metrics,
      assembler: this.assembler,
      endpoint,
      engine,
      stop: this.stop,
      handleQuiet: () => {
        parts.directory.reportStall(endpoint);
      },
      tryLeave: (kind, isSilent) =>
        this.handover.tryLeave(endpoint, kind, isSilent),
      handleAccepted: () => {
        this.searchUntil = undefined;
        this.sink.setResume(this.createResume());
      },
      handleTokens: (tokens) => this.passTokens(tokens),
    });
    const result = await attempt.run(source);
    if (hasPossiblyRun(result)) record.mayHaveRun = true;
    endpoint.endRequest(getEndpointOutcome(result));
    return result;
  }

  private createSource(engine: Engine, attaching: boolean): AttemptSource {
    const {clock, metrics} = this.parts;
    const modeUnattached = this.record.mayHaveRun ? 'continue' : 'start';
    const order = createOrder(
      this.record,
      attaching ? 'attach' : modeUnattached,
    );
    return {
      order,
      sentAt: clock.getNow(),
      open: (signal) => {
        metrics.orders.inc({mode: order.mode});
        return engine.openStream(order, signal);
      },
    };
  }

  private async passTokens(tokens: readonly AnswerToken[]): Promise<void> {
    // The silent engine went on before the next one continued the answer.
    this.handover.dropNext();
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
    this.retries.recordTokens();
    await this.write(tokens);
  }

  /**
   * Writes to the caller; stops waiting for it when the driver is stopped. A
   * half-open connection must not block the caller's newer connection.
   */
  private async write(tokens: readonly AnswerToken[]): Promise<void> {
    const written = this.sink.write(tokens);
    if (written === undefined) return;
    await waitUnlessAborted(written, this.stop);
  }

  /** Decides what to do after a loss; an error means to give up with it. */
  private decideNext(
    endpoint: EndpointRecord,
    loss: LossKind,
  ): KnownError | 'abandon' | 'attach' | 'continue' {
    const {metrics, clock} = this.parts;
    metrics.losses.inc({kind: loss});
    this.lostSince ??= this.lastTokenAt ?? clock.getNow();
    reportLoss(this.parts.directory, endpoint, loss);
    const hasNext = this.handover.next !== undefined;
    const response = this.retries.decide(endpoint, loss, hasNext);
    if (response === 'abandon' || response === 'attach') return response;
    if (response !== 'continue') return this.createFinalError(loss);
    cancelLost(this.record, metrics, endpoint, loss);
    return 'continue';
  }

  private createFinalError(loss: string): KnownError {
    const {service} = this.record.request;
    if (!this.record.mayHaveRun) {
      return DAEMON_ERRORS.create('no_endpoint', {service}, 1);
    }
    return DAEMON_ERRORS.create('generation_lost', {loss}, 1);
  }

  private createResume(): string {
    return createResumeData(this.record.toResumeData(), this.parts.signer);
  }

  private end(reason: string): DriveOutcome {
    const {record} = this;
    record.state = 'ended';
    record.endReason = reason;
    this.sink.end({reason, count: record.nextOffset});
    return 'ended';
  }

  private fail(error: KnownError): DriveOutcome {
    // A newer connection of the caller is continuing the request, so this one
    // must not be told that the request was not run.
    const isTakenOver = this.record.lock.hasWaiter;
    this.sink.fail(isTakenOver ? createTakenUp() : error);
    return 'failed';
  }
}

/** Creates the error for a connection that a newer one has replaced. */
export function createTakenUp(): KnownError {
  return DAEMON_ERRORS.create('answer_taken_up', {}, 1);
}
