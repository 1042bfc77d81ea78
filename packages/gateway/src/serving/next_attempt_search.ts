/**
 * Prepares the next attempt of a stream while the current one runs on. The next
 * engine must answer a probe and have room, and route, retry budget and the
 * engine's limits must allow the attempt.
 */
import {admitAttempt} from './attempt_admission.js';
import type {AttemptRun, PreparedAttempt} from './attempt_run.js';
import type {AdmittedRequest} from './caller_exchange.js';
import type {EndpointProber} from './endpoint_prober.js';
import type {EndpointRecord} from './endpoint_record.js';
import {EngineLease} from './engine_lease.js';
import type {SendPermit} from './send_gate.js';
import type {ServingParts} from './serving_parts.js';
import type {AttemptPlan} from './stream_attempt.js';
import type {StreamPlanner} from './stream_planner.js';
import type {StreamRetries} from './stream_retries.js';
import type {SuspectRunAdmission} from './suspect_run.js';

/** How long the next engine may take to answer a probe, in ms. */
const PROBE_TIMEOUT_MS = 150;

/** Dependencies of the search. */
export interface NextAttemptSearchParts {
  readonly serving: ServingParts;
  readonly prober: EndpointProber;
  readonly request: AdmittedRequest;
  readonly service: string;
  readonly planner: StreamPlanner;
  readonly retries: StreamRetries;
  readonly suspect: SuspectRunAdmission;
}

/** The attempt that runs meanwhile. */
export interface CurrentAttempt {
  readonly run: Pick<AttemptRun, 'findReplica' | 'plan'>;
  /** Whether the caller has received part of the answer. */
  readonly isStarted: boolean;
}

/** Prepares the next attempt of one stream. */
export class NextAttemptSearch {
  constructor(private readonly parts: NextAttemptSearchParts) {}

  /** Whether the stream may be sent once more now, wherever that is. */
  async isAllowed(signal: AbortSignal): Promise<boolean> {
    const {retries} = this.parts;
    await retries.tryBorrowToLeave();
    if (retries.findLeaveDenial() !== undefined) return false;
    return this.isAdmitted(signal);
  }

  /**
   * Whether one more attempt is allowed if an engine loses the next one, and
   * another engine is known for it.
   */
  hasAlternative(engine: EndpointRecord): boolean {
    const {planner, retries} = this.parts;
    if (!retries.hasFurtherRetry) return false;
    for (const other of planner.listKnownEngines()) {
      if (other !== engine && !planner.exclusions.has(other)) return true;
    }
    return false;
  }

  /** Prepares the next attempt; undefined if there is none for now. */
  async find(
    current: CurrentAttempt,
    signal: AbortSignal,
  ): Promise<PreparedAttempt | undefined> {
    const {serving, request, planner} = this.parts;
    const plan = await this.findPlan(current, signal);
    if (plan === undefined) return undefined;
    const permit = await this.admit(plan, current, signal);
    if (permit === undefined || signal.aborted) return undefined;
    const engineLease = new EngineLease(serving, request);
    const isAcquired = await engineLease.acquire(plan.endpoint, signal);
    if (isAcquired) return {plan, permit, engineLease};
    planner.exclusions.recordTaken(plan.endpoint);
    return undefined;
  }

  /**
   * Whether another run of the content may start now. Whether an earlier one
   * crashed its engine has to be settled first, which takes longer than most
   * silences.
   */
  private async isAdmitted(signal: AbortSignal): Promise<boolean> {
    const {serving, request, suspect} = this.parts;
    if (serving.lostRuns.isExitCheckNeeded(request.content)) return false;
    return (await suspect.admit(signal, 0)) === 'admitted';
  }

  /** Finds an engine that has room for the stream and is not silent itself. */
  private async findPlan(
    {run}: CurrentAttempt,
    signal: AbortSignal,
  ): Promise<AttemptPlan | undefined> {
    const {planner, prober} = this.parts;
    if (signal.aborted) return undefined;
    planner.setReplica(run.findReplica());
    await planner.pollRemoteEngines();
    if (!isCurrent(signal)) return undefined;
    const plan = planner.choosePlan();
    if (plan === undefined) {
      // Those that were silent may answer by now.
      planner.exclusions.dropSilent();
      planner.exclusions.dropHeld();
      planner.exclusions.recordSilent(run.plan.endpoint);
      return undefined;
    }
    const answer = await prober.probe(plan.endpoint, PROBE_TIMEOUT_MS);
    if (answer === 'answers') return plan;
    if (isCurrent(signal)) planner.exclusions.recordSilent(plan.endpoint);
    const {serving, service} = this.parts;
    await serving.paths.check(service);
    return undefined;
  }

  private async admit(
    plan: AttemptPlan,
    {isStarted}: CurrentAttempt,
    signal: AbortSignal,
  ): Promise<SendPermit | undefined> {
    const {serving, planner} = this.parts;
    const permit = await admitAttempt(serving, plan, isStarted, signal);
    if (permit.kind === 'permit') return permit;
    if (!signal.aborted) planner.recordHold(plan);
    return undefined;
  }
}

function isCurrent(search: AbortSignal): boolean {
  return !search.aborted;
}
