/**
 * Decides how one answer goes on when the stream from its engine is lost or
 * silent. For the answer of a silent engine another one is reserved, to which
 * the next attempt is sent while the silent one stays open: most engines that
 * are silent for a while go on, and the reserved one may fail the answer.
 */
import type {Clock} from '@irisdock/kernel';
import {
  computeAttachPauseMs,
  decideLossResponse,
  isLossCounted,
  type LossKind,
  type LossResponse,
  type RetryBudget,
} from '@irisdock/decisions';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {AttemptOptions} from './answer_attempt.js';
import type {EngineChooser} from './engine_chooser.js';
import type {RequestRecord} from './request_record.js';
import type {StallKind} from './stall_detector.js';

/** The dependencies of the retries. */
export interface AnswerRetriesParts {
  readonly clock: Clock;
  readonly budget: RetryBudget;
  readonly attemptOptions: Pick<AttemptOptions, 'probeTimeoutMs'>;
  readonly chooser: Pick<EngineChooser, 'choose'>;
}

/** Decides on the retries of one answer. */
export class AnswerRetries {
  /** Addresses of the engines that have just failed the answer. */
  readonly avoided = new Set<string>();
  /** Addresses of the engines that had no room for it beside a silent one. */
  private readonly refusing = new Set<string>();
  private countedLosses = 0;
  private attachAttempts = 0;

  constructor(
    private readonly parts: AnswerRetriesParts,
    private readonly record: RequestRecord,
  ) {}

  /** Whether the request may be run again or continued elsewhere. */
  get mayContinue(): boolean {
    const {repeatable, spec} = this.record.request;
    return repeatable || spec.continuation === 'allowed';
  }

  /** The pause before the decided attempt to attach, in ms. */
  get attachPauseMs(): number {
    return computeAttachPauseMs(this.attachAttempts);
  }

  /** Records that tokens arrived, so that the next loss is the first again. */
  recordTokens(): void {
    this.countedLosses = 0;
    this.attachAttempts = 0;
  }

  /**
   * Reserves another engine for the answer of a silent one; undefined if the
   * answer may not or cannot go on elsewhere now.
   *
   * @param isSilent Whether the engine is still silent.
   */
  async tryReserve(
    silent: EndpointRecord,
    kind: StallKind,
    isSilent: () => boolean,
  ): Promise<EndpointRecord | undefined> {
    if (this.record.text === undefined) return undefined;
    if (this.decideByBudget(kind, true, true) !== 'continue') return undefined;
    const failed = [...this.avoided, silent.address];
    const next =
      (await this.findAnswering([...failed, ...this.refusing])) ??
      (await this.findAnswering(failed));
    if (next === undefined || !isSilent()) return undefined;
    if (!this.takeRetry(true)) return undefined;
    next.startRequest();
    return next;
  }

  /** Records that an engine failed the answer beside a silent one. */
  recordFailure(endpoint: EndpointRecord, loss: LossKind): void {
    if (isLossCounted(loss, this.record.mayHaveRun)) this.countedLosses++;
    // One without room may have room at the next check.
    const failed = loss === 'refused' ? this.refusing : this.avoided;
    failed.add(endpoint.address);
  }

  /**
   * Decides what follows a loss, and counts it.
   *
   * @param hasNext Whether the next attempt has been sent already.
   */
  decide(
    endpoint: EndpointRecord,
    loss: LossKind,
    hasNext: boolean,
  ): LossResponse {
    const {mayHaveRun} = this.record;
    const isCounted = isLossCounted(loss, mayHaveRun);
    const response = this.decideResponse(loss, isCounted, hasNext);
    if (isCounted) this.countedLosses++;
    if (response === 'attach') this.attachAttempts++;
    if (response === 'continue') this.avoided.add(endpoint.address);
    return response;
  }

  /** Finds an engine that answers now, other than those to avoid. */
  private async findAnswering(
    addresses: readonly string[],
  ): Promise<EndpointRecord | undefined> {
    const {chooser, attemptOptions} = this.parts;
    const avoid = new Set(addresses);
    for (;;) {
      const next = chooser.choose({avoid, resuming: true});
      // For want of others, the choice includes those to avoid.
      if (next === undefined || avoid.has(next.address)) return undefined;
      avoid.add(next.address);
      if (!next.isAnswering || next.isQuiet) continue;
      // It may be silent as well, as engines of one domain are.
      const load = await next.clients.engine?.getLoad(
        attemptOptions.probeTimeoutMs,
      );
      if (load?.isOk() === true) return next;
    }
  }

  private decideResponse(
    loss: LossKind,
    isCounted: boolean,
    hasNext: boolean,
  ): LossResponse {
    if (loss === 'superseded') return 'abandon';
    // Its retry was taken from the budget with the reservation.
    if (hasNext) return 'continue';
    const {mayHaveRun} = this.record;
    // An attempt to attach runs nothing, so it needs no retry.
    const free = this.decideByBudget(loss, mayHaveRun, true);
    if (free === 'attach') return free;
    return this.decideByBudget(loss, mayHaveRun, this.takeRetry(isCounted));
  }

  private decideByBudget(
    loss: LossKind,
    mayHaveRun: boolean,
    hasRetryBudget: boolean,
  ): LossResponse {
    return decideLossResponse({
      loss,
      mayHaveRun,
      mayContinue: this.mayContinue,
      attachAttempts: this.attachAttempts,
      losses: this.countedLosses,
      hasRetryBudget,
    });
  }

  /** The first retry after a loss is free; further ones use the budget. */
  private takeRetry(isCounted: boolean): boolean {
    if (!isCounted || this.countedLosses === 0) return true;
    const {budget, clock} = this.parts;
    return budget.takeRetry(clock.getNow());
  }
}
