/**
 * Records how the attempts of one stream ended: for the choice of the next
 * engine, the retries left, the failure scores of endpoints, and rollouts.
 */
import type {AdmittedRequest} from './caller_exchange.js';
import {checkEngineExit, publishUnreached} from './lost_attempt.js';
import {recordEndpointFailure} from './send_rules.js';
import type {ServingParts} from './serving_parts.js';
import {
  getAttemptDetail,
  hasPossiblyRun,
  type AttemptPlan,
  type AttemptResult,
} from './stream_attempt.js';
import type {StreamEvidence} from './stream_evidence.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamReport} from './stream_report.js';
import type {StreamRetries} from './stream_retries.js';

/** The parts of one stream that take note of an attempt's end. */
export interface AttemptEndsParts {
  readonly serving: ServingParts;
  readonly request: AdmittedRequest;
  readonly service: string;
  readonly planner: StreamPlanner;
  readonly retries: StreamRetries;
  readonly evidence: StreamEvidence;
  readonly report: StreamReport;
}

/** Records the ends of one stream's attempts. */
export class AttemptEnds {
  constructor(private readonly parts: AttemptEndsParts) {}

  /** Records that the stream's current attempt ended early. */
  record(plan: AttemptPlan, result: AttemptResult): void {
    this.parts.retries.record(result);
    this.recordFailure(plan, result);
  }

  /** Records that an attempt beside a silent one did not continue the stream. */
  async recordTrial(plan: AttemptPlan, result: AttemptResult): Promise<void> {
    const {serving, request, retries, report} = this.parts;
    retries.recordTrial(result);
    this.recordFailure(plan, result);
    report.recordFailedTrial(plan, result, getAttemptDetail(result));
    // Nothing waits for the check: the silent attempt goes on meanwhile.
    await checkEngineExit(serving, request, plan.endpoint, result, true);
  }

  private recordFailure(plan: AttemptPlan, result: AttemptResult): void {
    const {serving, service, planner, evidence} = this.parts;
    const {endpoint} = plan;
    const {kind} = result;
    if (kind === 'ended') return;
    planner.recordAttemptEnd(endpoint, result);
    if (kind === 'failed') evidence.recordFailure(endpoint);
    if (kind === 'stopped') return;
    recordEndpointFailure(serving.endpoints, endpoint, kind);
    if (kind === 'lost' && !hasPossiblyRun(result)) {
      void publishUnreached(serving, service, endpoint);
    }
  }
}
