/**
 * The next attempt of an answer whose engine is silent. Its stream is opened
 * while the silent one stays open, and its events are held until it is certain
 * which of the two continues the answer.
 */
import {setImmediate} from 'node:timers/promises';
import type {Clock} from '@irisdock/kernel';
import {AnswerAssembler, type LossKind} from '@irisdock/decisions';
import type {
  EndpointError,
  Engine,
  EngineStream,
  StreamEvent,
  StreamOrder,
} from '@irisdock/endpoints';
import type {Result} from 'neverthrow';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {AttemptSource} from './answer_attempt.js';
import {getOpenLoss} from './attempt_outcome.js';

/** The longest time in which two engines run one answer, in ms. */
const MAX_SIDE_BY_SIDE_MS = 400;

/** What is known of the attempt: it continues the answer, or why it failed. */
export type NextVerdict = LossKind | 'continues' | 'unknown';

/** The dependencies of the attempt. */
export interface NextAttemptParts {
  readonly clock: Clock;
  /** The reserved endpoint. */
  readonly endpoint: EndpointRecord;
  readonly engine: Engine;
  readonly order: StreamOrder;
}

/** Runs the next attempt beside a silent one. */
export class NextAttempt implements AttemptSource {
  readonly sentAt: number;
  private readonly abortController = new AbortController();
  private readonly opened: Promise<Result<EngineStream, EndpointError>>;
  private readonly verdict: Promise<NextVerdict>;
  private readonly held: (readonly StreamEvent[])[] = [];
  private batches: AsyncIterator<readonly StreamEvent[]> | undefined;

  /** Sends the order. */
  constructor(private readonly parts: NextAttemptParts) {
    const {clock, engine, order} = parts;
    this.sentAt = clock.getNow();
    this.opened = engine.openStream(order, this.abortController.signal);
    this.verdict = this.readFirst();
  }

  get endpoint(): EndpointRecord {
    return this.parts.endpoint;
  }

  get order(): StreamOrder {
    return this.parts.order;
  }

  /** Waits until the engine continues the answer or fails, within a limit. */
  async waitVerdict(): Promise<NextVerdict> {
    const timeout = new AbortController();
    const expired = this.waitExpired(timeout.signal);
    const verdict = await Promise.race([this.verdict, expired]);
    timeout.abort();
    return verdict;
  }

  /** Gives the stream, from its first event on, to the answer's attempt. */
  async open(
    signal: AbortSignal,
  ): Promise<Result<EngineStream, EndpointError>> {
    const abort = (): void => {
      this.abortController.abort();
    };
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    const opened = await this.opened;
    return opened.map((stream) => ({
      batches: this.readAll(),
      close: () => {
        stream.close();
      },
    }));
  }

  /** Closes the stream, and cancels the generation that may run there. */
  cancel(): void {
    const {engine, order} = this.parts;
    this.abortController.abort();
    void this.opened.then((opened) => {
      if (opened.isOk()) opened.value.close();
    });
    // An engine that this does not reach ends what has no reader by itself.
    void engine.cancel(order.request, order.generation + 1);
  }

  private async waitExpired(signal: AbortSignal): Promise<NextVerdict> {
    await this.parts.clock.wait(MAX_SIDE_BY_SIDE_MS, signal);
    // After a pause of this process timers run before its sockets are read.
    await setImmediate();
    return 'unknown';
  }

  private async readFirst(): Promise<NextVerdict> {
    const opened = await this.opened;
    if (opened.isErr()) return getOpenLoss(opened.error.kind);
    const {request, generation, offset} = this.parts.order;
    const assembler = new AnswerAssembler(request, generation, offset);
    const batches = opened.value.batches[Symbol.asyncIterator]();
    this.batches = batches;
    try {
      for (;;) {
        const batch = await batches.next();
        if (batch.done === true) return 'reset';
        this.held.push(batch.value);
        const verdict = findVerdict(batch.value, assembler);
        if (verdict !== undefined) return verdict;
      }
    } catch {
      // The connection broke.
      return 'reset';
    }
  }

  private async *readAll(): AsyncGenerator<readonly StreamEvent[]> {
    // Until then the first events are read by `readFirst`.
    await this.verdict;
    yield* this.held;
    for (;;) {
      const batch = await this.batches?.next();
      if (batch === undefined || batch.done === true) return;
      yield batch.value;
    }
  }
}

/** Finds the verdict on a stream by its next events; undefined if none. */
function findVerdict(
  events: readonly StreamEvent[],
  assembler: AnswerAssembler,
): NextVerdict | undefined {
  for (const event of events) {
    if (event.type === 'superseded') return 'superseded';
    const {action} =
      event.type === 'token'
        ? assembler.acceptToken(event)
        : assembler.acceptEnd(event);
    if (action === 'lost') return 'gap';
    if (action !== 'drop') return 'continues';
  }
  return undefined;
}
