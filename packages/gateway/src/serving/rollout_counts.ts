/**
 * This host's counts for one rollout: requests, sends to the new version, and
 * by route how the endpoints of both versions answered. An answer that takes
 * several times as long as usual for the old version on its route counts as
 * bad.
 */
import type {
  AnswerCount,
  RouteEvidence,
  VersionVerdict,
} from '@irisdock/decisions';
import {decideVersionVerdict} from '@irisdock/decisions';
import type {RouteCount} from '../model/rollout_order.js';

/** The answer of one endpoint to one request. */
export interface ObservedAnswer {
  readonly route: string;
  readonly instanceId: string;
  readonly isNew: boolean;
  readonly isFailed: boolean;
  /** The time to the answer or first event, or between events, in ms. */
  readonly ms: number;
}

/** An answer that takes this many times the baseline is slow. */
const SLOW_FACTOR = 3;
/**
 * An answer within this delay over the baseline is not slow, in ms. A busy host
 * delays answers of any version by as much, which harms no caller.
 */
const MIN_SLOW_DELAY_MS = 50;
/** How many answers of the old version establish the baseline. */
const MIN_BASELINE_ANSWERS = 8;
/** The weight of the newest answer in the moving average of the baseline. */
const BASELINE_WEIGHT = 0.1;

interface MutableCount {
  answers: number;
  bad: number;
}

/** The counts of one route. */
class RouteCounts {
  readonly before: MutableCount = {answers: 0, bad: 0};
  readonly byEndpoint = new Map<string, MutableCount>();
  private baselineMs = 0;

  add({instanceId, isNew, isFailed, ms}: ObservedAnswer): void {
    const hasBaseline = this.before.answers >= MIN_BASELINE_ANSWERS;
    const slowThresholdMs = Math.max(
      SLOW_FACTOR * this.baselineMs,
      this.baselineMs + MIN_SLOW_DELAY_MS,
    );
    const isSlow = hasBaseline && ms > slowThresholdMs;
    const count = isNew ? this.getEndpoint(instanceId) : this.before;
    count.answers++;
    if (isFailed || isSlow) count.bad++;
    if (isNew || isFailed) return;
    const weight = Math.max(BASELINE_WEIGHT, 1 / this.before.answers);
    this.baselineMs += weight * (ms - this.baselineMs);
  }

  private getEndpoint(instanceId: string): MutableCount {
    const known = this.byEndpoint.get(instanceId);
    if (known !== undefined) return known;
    const count = {answers: 0, bad: 0};
    this.byEndpoint.set(instanceId, count);
    return count;
  }
}

/** This host's counts for one rollout. */
export class RolloutCounts {
  requests = 0;
  trialSends = 0;
  private readonly routes = new Map<string, RouteCounts>();

  add(answer: ObservedAnswer): void {
    let counts = this.routes.get(answer.route);
    if (counts === undefined) {
      counts = new RouteCounts();
      this.routes.set(answer.route, counts);
    }
    counts.add(answer);
  }

  /** Computes the verdict on the new version from this host's counts alone. */
  decide(): VersionVerdict {
    return decideVersionVerdict(computeEvidence([this.listRoutes()]));
  }

  /** Lists the counts by route. */
  listRoutes(): RouteCount[] {
    const list: RouteCount[] = [];
    for (const [route, {before, byEndpoint}] of this.routes) {
      const endpoints = [...byEndpoint].map(([instanceId, count]) => ({
        instanceId,
        ...count,
      }));
      list.push({route, ...before, byEndpoint: endpoints});
    }
    return list;
  }
}

interface RouteSum {
  before: AnswerCount;
  readonly byEndpoint: Map<string, AnswerCount>;
}

/** Adds up the counts of several hosts. */
export function computeEvidence(
  lists: Iterable<readonly RouteCount[]>,
): RouteEvidence[] {
  const sums = new Map<string, RouteSum>();
  for (const routes of lists) {
    for (const {route, byEndpoint, ...before} of routes) {
      const sum = sums.get(route) ?? createRouteSum();
      sum.before = addCounts(sum.before, before);
      for (const {instanceId, ...count} of byEndpoint) {
        const known = sum.byEndpoint.get(instanceId) ?? NO_ANSWERS;
        sum.byEndpoint.set(instanceId, addCounts(known, count));
      }
      sums.set(route, sum);
    }
  }
  return [...sums].map(([route, sum]) => ({route, ...sum}));
}

const NO_ANSWERS: AnswerCount = {answers: 0, bad: 0};

function createRouteSum(): RouteSum {
  return {before: NO_ANSWERS, byEndpoint: new Map()};
}

function addCounts(one: AnswerCount, other: AnswerCount): AnswerCount {
  return {answers: one.answers + other.answers, bad: one.bad + other.bad};
}
