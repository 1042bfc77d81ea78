/**
 * What this host saw of one roll-out: requests, sends to the new version, and
 * how the endpoints of both versions answered, by route. An answer that took
 * several times what the version before usually takes on its route is a bad one.
 */
import type {
  AnswerCount,
  RouteEvidence,
  VersionVerdict,
} from '@irisdock/decisions';
import {decideVersionVerdict} from '@irisdock/decisions';
import type {RouteCount} from '../model/rollout_order.js';

/** How one endpoint answered one request. */
export interface ObservedAnswer {
  readonly route: string;
  readonly instanceId: string;
  readonly isNew: boolean;
  readonly isFailed: boolean;
  /** The time that says how fast it was, in ms. */
  readonly ms: number;
}

/** So many times the usual time is slow. */
const SLOW_TIMES = 3;
/**
 * An answer that is later than usual by less than this is not slow, in ms: a busy
 * host delays answers of any version by as much, and no caller is harmed.
 */
const SLOW_LEAST_MS = 50;
/** Answers from which the usual time is known. */
const USUAL_FROM = 8;
/** The weight of the newest answer in the usual time. */
const USUAL_WEIGHT = 0.1;

interface MutableCount {
  answers: number;
  bad: number;
}

class RouteCounts {
  readonly before: MutableCount = {answers: 0, bad: 0};
  readonly byEndpoint = new Map<string, MutableCount>();
  private usualMs = 0;

  add({instanceId, isNew, isFailed, ms}: ObservedAnswer): void {
    const isKnown = this.before.answers >= USUAL_FROM;
    const slowFrom = Math.max(
      SLOW_TIMES * this.usualMs,
      this.usualMs + SLOW_LEAST_MS,
    );
    const isSlow = isKnown && ms > slowFrom;
    const count = isNew ? this.getEndpoint(instanceId) : this.before;
    count.answers++;
    if (isFailed || isSlow) count.bad++;
    if (isNew || isFailed) return;
    const weight = Math.max(USUAL_WEIGHT, 1 / this.before.answers);
    this.usualMs += weight * (ms - this.usualMs);
  }

  private getEndpoint(instanceId: string): MutableCount {
    const known = this.byEndpoint.get(instanceId);
    if (known !== undefined) return known;
    const count = {answers: 0, bad: 0};
    this.byEndpoint.set(instanceId, count);
    return count;
  }
}

/** The counts of one host. */
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

  /** Gives the verdict by what this host alone saw. */
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

/** Sums up what several hosts saw. */
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
