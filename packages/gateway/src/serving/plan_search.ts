/**
 * Searches for the engine of a stream's next attempt, and requests the lease on
 * it if the stream is suspected. When no other is left, engines on which an
 * attempt was lost are used again if they answer. When there is none at all, a
 * stream whose answer has started waits a while; any other is refused at once.
 */
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineLease} from './engine_lease.js';
import {probeInstance, type InstanceProbeParts} from './instance_probe.js';
import type {AttemptPlan} from './stream_attempt.js';
import type {ServingParts} from './serving_parts.js';
import type {StreamPlanner} from './stream_planner.js';

/** How long to search for an engine when none is available, in ms. */
const MAX_SEARCH_MS = 1500;
/** The time between two searches, in ms. */
const SEARCH_INTERVAL_MS = 50;

/** Dependencies of the search. */
type PlanSearchParts = InstanceProbeParts &
  Pick<ServingParts, 'clock' | 'endpoints' | 'paths'>;

/** Searches for the engines of one stream. */
export class PlanSearch {
  /** When the current search gives up; undefined while an attempt runs. */
  private deadline: number | undefined;

  constructor(
    private readonly parts: PlanSearchParts,
    private readonly planner: StreamPlanner,
    private readonly engineLease: Pick<EngineLease, 'acquire'>,
    private readonly service: string,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Finds a place for the next attempt; undefined when there is no engine, or
   * this host is partitioned from all.
   *
   * @param mayWait Whether to wait when there is none now.
   */
  async find(mayWait: boolean): Promise<AttemptPlan | undefined> {
    const {planner, engineLease, signal} = this;
    const {clock, paths} = this.parts;
    this.deadline ??= this.computeDeadline(mayWait);
    const {deadline} = this;
    for (;;) {
      await planner.pollRemoteEngines();
      const plan = planner.choosePlan() ?? (await planner.findDraining());
      if (signal.aborted) return plan;
      if (plan !== undefined) {
        if (await engineLease.acquire(plan.endpoint, signal)) return plan;
        planner.exclusions.recordTaken(plan.endpoint);
        continue;
      }
      if (await paths.check(this.service)) return undefined;
      if (await this.acceptAnswering(await planner.listLost())) continue;
      if (clock.getNow() >= deadline) return undefined;
      await clock.wait(SEARCH_INTERVAL_MS, signal);
      planner.exclusions.dropHeld();
    }
  }

  /** Ends the search, so that the next one gets the full time again. */
  end(): void {
    this.deadline = undefined;
  }

  /** Makes lost engines eligible that answer; tells whether any does. */
  private async acceptAnswering(
    lost: readonly EndpointRecord[],
  ): Promise<boolean> {
    const probes = lost.map(async (engine) => {
      const isAnswering =
        (await probeInstance(this.parts, engine)) === 'answers';
      if (isAnswering) this.planner.exclusions.dropLost(engine);
      return isAnswering;
    });
    return (await Promise.all(probes)).includes(true);
  }

  /** A search that may wait also does so until the first endpoint pause ends. */
  private computeDeadline(mayWait: boolean): number {
    const {clock, endpoints} = this.parts;
    const now = clock.getNow();
    if (!mayWait) return now;
    const pauseEnd = endpoints.findFirstPauseEnd(this.service) ?? now;
    return Math.max(now, pauseEnd) + MAX_SEARCH_MS;
  }
}
