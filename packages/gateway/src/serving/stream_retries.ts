/**
 * Decides whether a stream may be sent to another engine: as often as its route
 * allows, within the service's retry budget, and never once its content is
 * known to crash engines.
 */
import {MIN_SERVER_ERROR_STATUS} from '../channels/response_check.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {computeRemainingMs} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {hasPossiblyRun, type AttemptResult} from './stream_attempt.js';
import type {StreamSink} from './stream_sink.js';

/** How many attempts that certainly did not run may be retried. */
const MAX_NOT_RUN_ATTEMPTS = 6;
/** An attempt with less time left than this would not be answered, in ms. */
const MIN_ATTEMPT_MS = 200;

/** Why a stream is not retried. */
export type RetryDenial =
  | 'answered'
  | 'attempts_spent'
  | 'budget_spent'
  | 'caller_left'
  | 'content_busy'
  | 'content_refused'
  | 'first_event_late'
  | 'never_run'
  | 'not_resumable'
  /** The last event has no id after which another attempt could resume. */
  | 'position_unknown'
  | 'time_spent';

/** Counts the attempts of one stream and decides on retries. */
export class StreamRetries {
  /** The number of attempts that ran or may have run. */
  runs = 0;
  /** The number of attempts that certainly did not run. */
  notRun = 0;
  /** Retries that were taken ahead for attempts that could not be started. */
  private failedStarts = 0;
  /** Whether a retry was taken while the current attempt still runs. */
  private isGranted = false;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
    private readonly sink: Pick<StreamSink, 'isResumable'>,
  ) {}

  /** Whether any attempt may have run. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Whether the content crashed too many engines, here or on other hosts. */
  get isRefused(): boolean {
    return this.parts.crashes.isRefused(this.request.content);
  }

  /** Counts an attempt that ended early. */
  record(result: AttemptResult): void {
    if (hasPossiblyRun(result)) this.runs++;
    else this.notRun++;
  }

  /** Counts an attempt that ran beside a silent one and was not continued. */
  recordTrial(result: AttemptResult): void {
    if (hasPossiblyRun(result)) this.runs++;
  }

  /** Gives up the retry taken ahead, as its attempt has been sent in vain. */
  dropGrant(): void {
    this.isGranted = false;
  }

  /**
   * Gives up the retry taken ahead, as its attempt could not be started. It
   * counts as an attempt for further retries that are taken ahead, as each
   * takes from the budget that all streams share. The retry after the loss of
   * the current attempt stays allowed.
   */
  recordFailedStart(): void {
    if (this.isGranted) this.failedStarts++;
    this.isGranted = false;
  }

  /** Returns why there is no retry; takes one from the budget otherwise. */
  findRetryDenial(result: AttemptResult): RetryDenial | undefined {
    if (this.isRefused) return 'content_refused';
    if (!this.sink.isResumable) return 'position_unknown';
    if (this.isGranted) {
      this.isGranted = false;
      return undefined;
    }
    const denial = this.findResultDenial(result);
    if (denial !== undefined || !this.isCounted(result)) return denial;
    return this.findBudgetDenial();
  }

  /**
   * Borrows a retry from other hosts if nothing but this host's budget denies
   * one after an attempt that ended early.
   */
  async tryBorrow(result: AttemptResult): Promise<void> {
    if (this.isRefused || this.isGranted || !this.isCounted(result)) return;
    if (this.findResultDenial(result) !== undefined) return;
    await this.parts.retryBudgets.tryBorrow(this.service);
  }

  /** Borrows a retry if nothing else keeps a silent attempt from being left. */
  async tryBorrowToLeave(): Promise<void> {
    if (this.findLeaveDenial() !== 'budget_spent') return;
    await this.parts.retryBudgets.tryBorrow(this.service);
  }

  /** Whether a retry after an attempt counts against the budget. */
  private isCounted(result: AttemptResult): boolean {
    return this.parts.retryBudgets.isCounted(result);
  }

  /** Returns why there is no retry, apart from the budget. */
  private findResultDenial(result: AttemptResult): RetryDenial | undefined {
    const {route} = this;
    if (!route.isResumable && this.mayHaveRun) return 'not_resumable';
    if (
      result.kind === 'failed' &&
      result.answer.status < MIN_SERVER_ERROR_STATUS
    ) {
      return 'answered';
    }
    return this.findSendDenial(this.runs);
  }

  /**
   * Returns why an attempt that runs and may have been lost must not be left
   * for another one.
   */
  findLeaveDenial(): RetryDenial | undefined {
    return this.findDenialAfter(1);
  }

  /** Whether one more attempt is allowed when two that run are lost. */
  get hasFurtherRetry(): boolean {
    return this.findDenialAfter(2) === undefined;
  }

  /**
   * Takes the retry that follows an attempt before the attempt is left; returns
   * why there is none.
   */
  takeAhead(): RetryDenial | undefined {
    const denial = this.findLeaveDenial() ?? this.findBudgetDenial();
    this.isGranted = denial === undefined;
    return denial;
  }

  /** @param running How many attempts run that are not counted yet. */
  private findDenialAfter(running: number): RetryDenial | undefined {
    if (!this.route.isResumable) return 'not_resumable';
    if (this.isRefused) return 'content_refused';
    const runs = this.runs + this.failedStarts + running;
    const denial = this.findSendDenial(runs);
    if (denial !== undefined) return denial;
    const hasRetry = this.parts.retryBudgets.hasRetry(this.service);
    return hasRetry ? undefined : 'budget_spent';
  }

  private findSendDenial(runs: number): RetryDenial | undefined {
    const {route, request, parts} = this;
    if (!this.sink.isResumable) return 'position_unknown';
    if (runs >= route.maxAttempts) return 'attempts_spent';
    if (this.notRun > MAX_NOT_RUN_ATTEMPTS) return 'never_run';
    if (request.exchange.signal.aborted) return 'caller_left';
    const now = parts.clock.getNow();
    const remainingMs = computeRemainingMs(request, route, now);
    return remainingMs < MIN_ATTEMPT_MS ? 'time_spent' : undefined;
  }

  private findBudgetDenial(): RetryDenial | undefined {
    const isTaken = this.parts.retryBudgets.takeRetry(this.service);
    return isTaken ? undefined : 'budget_spent';
  }
}
