/**
 * Hands the answer of a silent engine over to the next one. The next attempt is
 * sent while the silent one stays open and is read; the first that brings the
 * next token goes on, and the other one is cancelled. An engine that fails the
 * next attempt leaves the answer at the silent one.
 */
import type {AnswerAssembler, LossKind} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import type {AttemptResult} from './answer_attempt.js';
import type {AnswerRetries} from './answer_retries.js';
import {getEndpointOutcome, hasPossiblyRun} from './attempt_outcome.js';
import {cancelLost, reportLoss} from './lost_attempt.js';
import {NextAttempt, type NextVerdict} from './next_attempt.js';
import type {RequestRecord} from './request_record.js';
import type {StallKind} from './stall_detector.js';
import type {StreamMetrics} from './stream_metrics.js';
import {createOrder} from './stream_order.js';

/** The dependencies of a handover. */
export interface EngineHandoverParts {
  readonly clock: Clock;
  readonly directory: Pick<EndpointDirectory, 'reportLost'>;
  readonly metrics: StreamMetrics;
  readonly record: RequestRecord;
  readonly retries: AnswerRetries;
  readonly assembler: AnswerAssembler;
}

/** Hands one answer over between engines. */
export class EngineHandover {
  private sent: NextAttempt | undefined;

  constructor(private readonly parts: EngineHandoverParts) {}

  /** The next attempt, from when it is sent until it is taken or dropped. */
  get next(): NextAttempt | undefined {
    return this.sent;
  }

  /** Takes the next attempt as the one that goes on. */
  takeNext(): void {
    this.sent = undefined;
  }

  /**
   * Sends the next attempt while a silent one stays open; resolves to whether
   * the silent one is left for it.
   *
   * @param isSilent Whether the engine is still silent.
   */
  async tryLeave(
    silent: EndpointRecord,
    kind: StallKind,
    isSilent: () => boolean,
  ): Promise<boolean> {
    const {directory, retries, assembler} = this.parts;
    reportLoss(directory, silent, kind);
    const reserved = await retries.tryReserve(silent, kind, isSilent);
    if (reserved === undefined) return false;
    const next = this.startNext(reserved, isSilent);
    if (next === undefined) return false;
    const verdict = await next.waitVerdict();
    // The silent engine went on, or its stream has ended.
    if (this.sent !== next) return false;
    if (!isSilent()) {
      this.dropNext();
      return false;
    }
    if (isFailure(verdict)) {
      this.recordFailure(verdict);
      return false;
    }
    // From here on tokens of the silent engine are dropped as stale.
    assembler.setGeneration(next.order.generation);
    return true;
  }

  /** Gives the next attempt up, if one runs beside a silent one. */
  dropNext(): void {
    const next = this.sent;
    if (next === undefined) return;
    this.sent = undefined;
    this.parts.record.mayHaveRun = true;
    next.cancel();
    next.endpoint.endRequest('neutral');
  }

  private startNext(
    endpoint: EndpointRecord,
    isSilent: () => boolean,
  ): NextAttempt | undefined {
    const {clock, metrics, record} = this.parts;
    const {engine} = endpoint.clients;
    if (engine === undefined || !isSilent()) {
      endpoint.endRequest('neutral');
      return undefined;
    }
    const order = createOrder(record, 'continue');
    metrics.orders.inc({mode: order.mode});
    this.sent = new NextAttempt({clock, endpoint, engine, order});
    return this.sent;
  }

  /** Records that the next attempt failed; the silent one is kept. */
  private recordFailure(loss: LossKind): void {
    const {directory, metrics, record, retries} = this.parts;
    const endpoint = this.sent?.endpoint;
    if (endpoint === undefined) return;
    this.sent = undefined;
    const result: AttemptResult = {kind: 'lost', loss};
    if (hasPossiblyRun(result)) record.mayHaveRun = true;
    metrics.losses.inc({kind: loss});
    reportLoss(directory, endpoint, loss);
    retries.recordFailure(endpoint, loss);
    cancelLost(record, metrics, endpoint, loss);
    endpoint.endRequest(getEndpointOutcome(result));
  }
}

/** Tells whether the silent engine is kept after a verdict on the next one. */
function isFailure(verdict: NextVerdict): verdict is LossKind {
  if (verdict === 'continues' || verdict === 'unknown') return false;
  // Another host has taken the request over, which ends all attempts.
  return verdict !== 'superseded';
}
