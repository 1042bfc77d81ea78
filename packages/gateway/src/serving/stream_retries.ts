/**
 * Whether a stream may be sent to another engine, by what became of its attempts so
 * far: as often as its route allows, within the service's budget of repeats, and
 * never once its content is known to end the engines that run it.
 */
import {MIN_SERVER_ERROR_STATUS} from '../channels/response_check.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {computeRemainingMs} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {hasPossiblyRun, type AttemptResult} from './stream_attempt.js';

/** Sends that certainly did not run may be repeated this often. */
const MAX_NOT_RUN = 6;
/** An attempt with less time than this would bring nothing, in ms. */
const MIN_ATTEMPT_MS = 200;

/** Why a stream is not sent again. */
export type RetryDenial =
  | 'answered'
  | 'attempts_spent'
  | 'budget_spent'
  | 'caller_left'
  | 'content_busy'
  | 'content_refused'
  | 'never_run'
  | 'not_resumable'
  | 'time_spent';

/** Counts the attempts of one stream. */
export class StreamRetries {
  /** Attempts that ran or may have run. */
  runs = 0;
  /** Attempts that certainly did not run. */
  notRun = 0;

  constructor(
    private readonly parts: ServingParts,
    private readonly request: AdmittedRequest,
    private readonly route: ServingRoute,
    private readonly service: string,
  ) {}

  /** Whether any attempt may have run. */
  get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Whether the content ended too many engines, here or elsewhere. */
  get isRefused(): boolean {
    return this.parts.crashes.isRefused(this.request.content);
  }

  /** Takes an attempt that ended early. */
  record(result: AttemptResult): void {
    if (hasPossiblyRun(result)) this.runs++;
    else this.notRun++;
  }

  /** Finds why there may be no attempt after one that ended like this. */
  findRetryDenial(result: AttemptResult): RetryDenial | undefined {
    const {route, request, parts} = this;
    if (!route.isResumable && this.mayHaveRun) return 'not_resumable';
    if (this.isRefused) return 'content_refused';
    if (
      result.kind === 'failed' &&
      result.answer.status < MIN_SERVER_ERROR_STATUS
    ) {
      return 'answered';
    }
    if (this.runs >= route.maxAttempts) return 'attempts_spent';
    if (this.notRun > MAX_NOT_RUN) return 'never_run';
    if (request.exchange.signal.aborted) return 'caller_left';
    const now = parts.clock.getNow();
    if (computeRemainingMs(request, route, now) < MIN_ATTEMPT_MS) {
      return 'time_spent';
    }
    return parts.retryBudgets.takeRetry(this.service)
      ? undefined
      : 'budget_spent';
  }
}
