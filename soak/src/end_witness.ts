/**
 * Holds ends of requests against the promise that each whole request has
 * exactly one, and that an answer is cut for a reason only: something befell
 * the host or its link to the caller, or an endpoint broke the answer off and
 * it could not be had elsewhere, or the time was up. Neither a silence of
 * endpoints, nor another one that refuses or fails the request meanwhile, nor a
 * change of the configuration, nor a store that is away is a reason.
 */
import {Disturbances, type DisturbedPart} from './disturbances.js';
import type {EndpointInstance} from './endpoint_fleet.js';
import {GRACE_SECONDS} from './host_process.js';
import {CRASH_PREFIX} from './crash_witness.js';
import {getMaxRuns, isRunOnce, isStream} from './request_kinds.js';
import type {Attempt} from './witness.js';

/** How attempts ended, each with the number of those that did so. */
export interface EndCounts {
  answered: number;
  refused: number;
  failed: number;
  cut: number;
}

/** How requests of one kind ended, and how often endpoints ran them. */
export interface KindCounts extends EndCounts {
  ran: number;
}

/** What excuses a cut. */
export type CutReason =
  | 'caller link'
  | 'endpoint'
  | 'endpoint path'
  | 'grace is over'
  | 'host'
  | 'not taken'
  | 'time is up'
  | 'none';

/** What is known of an answer that was cut. */
export interface Cut {
  /** Whether the host took the request. */
  readonly wasSent: boolean;
  /** Whether the answer had begun. */
  readonly wasBegun: boolean;
  /** The endpoint whose event came last; undefined if none came. */
  readonly lastServer?: string | undefined;
}

/** An endpoint that ran a request. */
export type RunningInstance = Pick<
  EndpointInstance,
  'harmedUntil' | 'id' | 'leavingAt'
>;

/** A run of a request at an endpoint. */
interface Run {
  readonly instance: RunningInstance;
  readonly startedAt: number;
  /** Whether it ended by the endpoint's fault, without an event. */
  readonly hasFailed: boolean;
}

/** How long a host must have been left alone to be in touch, in ms. */
const CONTACT_MS = 3000;
/** How long streams may take on their route, in ms. */
export const STREAM_MS = 12_000;
/** An endpoint that works so long after a stop began is not waited for, in ms. */
const DRAIN_MS = (GRACE_SECONDS * 1000 * 5) / 6;
/** Requests that come so long after a stop began are to be refused, in ms. */
const TAKEN_MS = 3000;
/** A request may arrive at an endpoint so long after its link's harm, in ms. */
const UNDER_WAY_MS = 500;
/** A timer of a host may be so much early against the caller's, in ms. */
const TIMER_MARGIN_MS = 100;

/** What befell a host, and the reason that it is; others are none. */
const REASONS: ReadonlyMap<DisturbedPart, CutReason> = new Map([
  ['hosts', 'host'],
  ['callers', 'caller link'],
  ['endpoint paths', 'endpoint path'],
]);

/** The witness. */
export class EndWitness {
  readonly counts: EndCounts = {answered: 0, refused: 0, failed: 0, cut: 0};
  /** Ends and runs by the kind of request. */
  readonly kinds = new Map<string, KindCounts>();
  /** Cuts by their reasons. */
  readonly cuts = new Map<CutReason, number>();
  /** When new streams failed at some endpoints. */
  readonly streamFaults = new Disturbances();
  private readonly open = new Set<string>();
  private readonly runs = new Map<string, Run[]>();

  /** @param hasFewRetries Whether the hosts may hardly send anything again. */
  constructor(
    private readonly disturbances: Disturbances,
    private readonly hasFewRetries: boolean,
  ) {}

  /** Takes it that a caller begins an attempt. */
  recordAttempt({attemptId}: Attempt): void {
    this.open.add(attemptId);
  }

  /** Takes it that an endpoint began to run an attempt. */
  recordRun(
    attempt: Attempt,
    instance: RunningInstance,
    hasFailed = false,
  ): void {
    const {attemptId} = attempt;
    this.getKind(attempt).ran++;
    const runs = this.runs.get(attemptId) ?? [];
    const startedAt = performance.now();
    runs.push({instance, startedAt, hasFailed});
    this.runs.set(attemptId, runs);
  }

  /** Counts an end; returns the broken promise if it is not the only one. */
  recordEnd(attempt: Attempt, end: keyof EndCounts): string | undefined {
    const {attemptId} = attempt;
    this.counts[end]++;
    this.getKind(attempt)[end]++;
    if (this.open.delete(attemptId)) return undefined;
    return `${attemptId} has two ends, the second is ${end}`;
  }

  /** Counts a cut by its reason; returns the broken promise if it has none. */
  recordCut(attempt: Attempt, cut: Cut): string | undefined {
    const reason = this.findReason(attempt, cut);
    this.cuts.set(reason, (this.cuts.get(reason) ?? 0) + 1);
    if (reason !== 'none') return undefined;
    const {attemptId, kind, host} = attempt;
    return `${attemptId} (${kind}) was cut on ${host}, which was left alone`;
  }

  /** Whether a stream may run at one more endpoint, if its hosts may retry. */
  isMovable(attempt: Attempt): boolean {
    const runs = this.runs.get(attempt.attemptId)?.length ?? 0;
    return (
      !attempt.body.startsWith(CRASH_PREFIX) && this.isRetryDue(attempt, runs)
    );
  }

  /** Lists attempts that have not ended; called when all must have. */
  listFaults(): string[] {
    return [...this.open].map((attemptId) => `${attemptId} has no end`);
  }

  private getKind({kind, body}: Attempt): KindCounts {
    const name = body.startsWith(CRASH_PREFIX) ? 'crashing' : kind;
    let counts = this.kinds.get(name);
    if (counts === undefined) {
      counts = {answered: 0, refused: 0, failed: 0, cut: 0, ran: 0};
      this.kinds.set(name, counts);
    }
    return counts;
  }

  private findReason(attempt: Attempt, cut: Cut): CutReason {
    const {host, startedAt, attemptId, kind} = attempt;
    const runs = this.runs.get(attemptId) ?? [];
    if (!cut.wasSent && runs.length === 0) return 'not taken';
    const now = performance.now();
    const from = startedAt - CONTACT_MS;
    const all = this.disturbances.listBetween(host, from, now);
    const befell = all.filter((one) => !one.isPlanned);
    for (const {part, until = Infinity} of befell) {
      // A partition that is over takes no endpoint from a request.
      if (part === 'endpoint paths' && until < startedAt) continue;
      const reason = REASONS.get(part);
      if (reason !== undefined) return reason;
    }
    const isDisturbed =
      befell.some(({part}) => part === 'endpoints') ||
      !this.streamFaults.isCalm(from, now);
    const brokenOff = findBrokenOff(runs, cut.lastServer);
    // A host that cannot read the store may learn of an announced end too late.
    const isUntold =
      brokenOff?.instance.leavingAt !== undefined &&
      befell.some(({part}) => part === 'store');
    const isRetryDue =
      !isDisturbed && !isUntold && this.isRetryDue(attempt, runs.length);
    if (brokenOff !== undefined && !isRetryDue) return 'endpoint';
    const isDrained = all.some((one) => {
      const isTaken = one.isPlanned && startedAt <= one.from + TAKEN_MS;
      return isTaken && now >= one.from + DRAIN_MS;
    });
    if (isDrained && runs.length > 0) return 'grace is over';
    const endsAt = startedAt + STREAM_MS - TIMER_MARGIN_MS;
    if (cut.wasBegun && isStream(kind) && now >= endsAt) return 'time is up';
    return 'none';
  }

  /** Whether an answer that an endpoint broke off is due from another one. */
  private isRetryDue({kind}: Attempt, runs: number): boolean {
    if (this.hasFewRetries || isRunOnce(kind)) return false;
    return runs < getMaxRuns(kind);
  }
}

/**
 * Finds the run that held an answer, if its endpoint broke it off. Another one to
 * which the request was sent meanwhile, and which did not continue it, holds
 * nothing.
 */
function findBrokenOff(
  runs: readonly Run[],
  lastServer: string | undefined,
): Run | undefined {
  const run =
    runs.findLast(({instance}) => instance.id === lastServer) ??
    runs.findLast(({hasFailed}) => !hasFailed) ??
    runs.at(-1);
  if (run === undefined) return undefined;
  const {hasFailed, instance, startedAt} = run;
  const isHarmed = instance.harmedUntil >= startedAt - UNDER_WAY_MS;
  return hasFailed || isHarmed ? run : undefined;
}
