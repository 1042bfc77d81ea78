/**
 * Looks for the engine of a stream's next attempt. A begun answer waits a while when
 * there is none; a request that has not begun is refused at once.
 */
import type {AttemptPlan} from './stream_attempt.js';
import type {ServingParts} from './serving_parts.js';
import type {StreamPlanner} from './stream_planner.js';

/** How long an engine is looked for when none is left, in ms. */
const SEARCH_MS = 1500;
/** The time between two looks, in ms. */
const SEARCH_STEP_MS = 50;

/** The search of one stream. */
export class PlanSearch {
  /** Until when an engine is looked for; undefined while one runs an attempt. */
  private until: number | undefined;

  constructor(
    private readonly parts: Pick<ServingParts, 'clock' | 'endpoints'>,
    private readonly planner: StreamPlanner,
    private readonly service: string,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Finds where the next attempt runs; undefined when there is no engine.
   *
   * @param isBegun Whether the caller has a part of the answer.
   */
  async find(isBegun: boolean): Promise<AttemptPlan | undefined> {
    const {planner, signal} = this;
    const {clock} = this.parts;
    this.until ??= this.decideEnd(isBegun);
    const {until} = this;
    for (;;) {
      await planner.pollRemoteEngines();
      const plan = planner.choosePlan();
      if (plan !== undefined || signal.aborted) return plan;
      if (clock.getNow() >= until) return undefined;
      await clock.wait(SEARCH_STEP_MS, signal);
      planner.dropHolds();
    }
  }

  /** An engine was found: the next search has the whole time again. */
  end(): void {
    this.until = undefined;
  }

  /** A begun answer also waits for an engine that asked for a pause. */
  private decideEnd(isBegun: boolean): number {
    const {clock, endpoints} = this.parts;
    const now = clock.getNow();
    if (!isBegun) return now;
    const pauseEnd = endpoints.findFirstPauseEnd(this.service) ?? now;
    return Math.max(now, pauseEnd) + SEARCH_MS;
  }
}
