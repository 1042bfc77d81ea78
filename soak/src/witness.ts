/**
 * Holds what callers and endpoints saw against what was promised. It knows
 * nothing of the hosts but their answers.
 */
import {
  findLastServer,
  formatCallBody,
  formatEventData,
  type ServerRun,
} from '@irisdock/users-platform/fixtures';
import {CRASH_PREFIX} from './crash_witness.js';
import type {Disturbances} from './disturbances.js';
import {EndWitness, type EndCounts} from './end_witness.js';
import type {EndedAttempt} from './partition_player.js';
import {
  isRunOnce,
  isStream,
  isTemporary,
  type RequestKind,
} from './request_kinds.js';
import {VersionWitness} from './version_witness.js';
import {
  LEAVE_MS,
  STREAM_SHAPE,
  type EndpointInstance,
} from './endpoint_fleet.js';

/** One attempt of a caller, and what came back. */
export interface Attempt {
  readonly attemptId: string;
  readonly kind: RequestKind;
  readonly host: string;
  readonly body: string;
  readonly startedAt: number;
  /** The last event that the caller had before this attempt. */
  readonly lastEventId: number;
  /** The attempt that brought the first event; undefined before it. */
  readonly resumes: string | undefined;
}

/** How an attempt ended. */
export type AttemptEnd =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly body: string;
      /** Whether the answer ended as whole. */
      readonly isWhole: boolean;
      readonly retryAfter: string | undefined;
    }
  /** The connection did not open, or closed before a whole head. */
  | {readonly kind: 'cut'; readonly wasSent: boolean};

/** What the witness asks of an instance of an endpoint. */
export type SeenInstance = Pick<
  EndpointInstance,
  'harmedUntil' | 'id' | 'leavingAt'
>;

/** How long a host must have been left alone to be in touch, in ms. */
const CONTACT_MS = 3000;
/** Beyond a bound, for a busy machine, in ms. */
const MARGIN_MS = 2500;
/** Statuses that say that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK_STATUS = 200;

/** The witness of one play. */
export class Witness {
  readonly faults: string[] = [];
  /** Attempts that have ended, in this order. */
  readonly ended: EndedAttempt[] = [];
  readonly ends: EndWitness;
  private readonly versions = new VersionWitness();
  private readonly attempts = new Map<string, Attempt>();
  private readonly runs = new Map<string, number>();
  /** Attempts that were told that they have not run. */
  private readonly notRun = new Map<string, number>();

  /** @param hasFewRetries Whether the hosts may hardly send anything again. */
  constructor(
    private readonly disturbances: Disturbances,
    hasFewRetries = false,
  ) {
    this.ends = new EndWitness(disturbances, hasFewRetries);
  }

  /** Takes it that a caller begins an attempt. */
  recordAttempt(attempt: Attempt): void {
    this.attempts.set(attempt.attemptId, attempt);
    this.ends.recordAttempt(attempt);
  }

  /**
   * Takes it that an endpoint began a run.
   *
   * @param hasFailed Whether the endpoint failed it without an event.
   */
  recordRun(instance: SeenInstance, run: ServerRun, hasFailed = false): void {
    const attempt = this.attempts.get(run.attemptId);
    if (attempt?.body !== run.body) {
      this.addFault(`${instance.id} ran ${formatRun(run)}, which nobody sent`);
      return;
    }
    const count = (this.runs.get(run.attemptId) ?? 0) + 1;
    this.runs.set(run.attemptId, count);
    this.ends.recordRun(attempt, instance, hasFailed);
    if (isRunOnce(attempt.kind) && count > 1) {
      this.addFault(`${run.attemptId} ran ${count} times`);
    }
    this.checkLeaving(instance, run);
  }

  /** Finds an attempt by its id. */
  findAttempt(attemptId: string): Attempt | undefined {
    return this.attempts.get(attemptId);
  }

  /** Finds the host to which an attempt was sent; '' if it is not known. */
  findHost(attemptId: string): string {
    return this.findAttempt(attemptId)?.host ?? '';
  }

  /** Whether a running attempt may run at one more endpoint. */
  isMovable(attemptId: string): boolean {
    const attempt = this.attempts.get(attemptId);
    return attempt !== undefined && this.ends.isMovable(attempt);
  }

  /** Takes how an attempt ended. */
  recordEnd(attempt: Attempt, end: AttemptEnd): void {
    this.recordEnded(attempt, end);
    this.addFoundFault(this.ends.recordEnd(attempt, getEndKind(end)));
    if (end.kind === 'cut') {
      const cut = {wasSent: end.wasSent, wasBegun: false};
      this.addFoundFault(this.ends.recordCut(attempt, cut));
      return;
    }
    if (end.status !== OK_STATUS && !end.isWhole) this.checkCut(attempt, end);
    if (NOT_RUN_STATUSES.has(end.status)) {
      this.notRun.set(attempt.attemptId, end.status);
      if (end.retryAfter === undefined) {
        this.addFault(`${attempt.attemptId} was not told when to come back`);
      }
      return;
    }
    if (end.status !== OK_STATUS) return;
    if (isStream(attempt.kind)) this.checkStream(attempt, end);
    else this.checkCall(attempt, end);
  }

  /** Contents that end their endpoints are refused everywhere. */
  private recordEnded(attempt: Attempt, end: AttemptEnd): void {
    const {host, startedAt, body, kind, resumes} = attempt;
    if (body.startsWith(CRASH_PREFIX) || isTemporary(kind)) return;
    const isServed =
      end.kind === 'answer' && end.status === OK_STATUS && end.isWhole;
    this.ended.push({
      host,
      startedAt,
      isServed,
      request: body,
      isStream: isStream(kind),
      version: this.versions.find(resumes),
    });
  }

  /** Takes a broken promise, in words that name who and what. */
  addFault(fault: string): void {
    this.faults.push(fault);
  }

  private addFoundFault(fault: string | undefined): void {
    if (fault !== undefined) this.addFault(fault);
  }

  /** Holds refusals against runs; called when nothing can run any more. */
  checkRefusals(): void {
    for (const [attemptId, status] of this.notRun) {
      const runs = this.runs.get(attemptId) ?? 0;
      const kind = this.attempts.get(attemptId)?.kind;
      // What may run again may have run before it was refused.
      if (runs === 0 || kind === undefined || !isRunOnce(kind)) continue;
      this.addFault(`${attemptId} got ${status} and ran`);
    }
  }

  private checkCall(
    attempt: Attempt,
    end: AttemptEnd & {readonly kind: 'answer'},
  ): void {
    const wanted = formatCallBody(attempt.attemptId, attempt.body);
    const hasOwn = end.body === wanted;
    if (hasOwn && end.isWhole) return;
    if (!hasOwn && !end.isWhole) {
      this.checkCut(attempt, end);
      return;
    }
    this.addFault(`${attempt.attemptId} got ${JSON.stringify(end.body)}`);
  }

  private checkStream(
    attempt: Attempt,
    end: AttemptEnd & {readonly kind: 'answer'},
  ): void {
    const fault = this.versions.recordEvents(attempt, end.body);
    if (fault !== undefined) this.addFault(fault);
    const ids = listEventIds(attempt.body, end.body);
    let next = attempt.lastEventId + 1;
    for (const id of ids) {
      if (id === next) {
        next++;
        continue;
      }
      this.addFault(`${attempt.attemptId} got event ${id}, not ${next}`);
      return;
    }
    const isAll = next === STREAM_SHAPE.events + 1;
    if (end.isWhole && !isAll) {
      this.addFault(`${attempt.attemptId} looks whole, next is ${next}`);
    }
    if (!end.isWhole) this.checkCut(attempt, end);
  }

  private checkCut(
    attempt: Attempt,
    {body}: AttemptEnd & {readonly kind: 'answer'},
  ): void {
    const lastServer = findLastServer(body);
    const cut = {wasSent: true, wasBegun: true, lastServer};
    this.addFoundFault(this.ends.recordCut(attempt, cut));
  }

  private checkLeaving(instance: SeenInstance, run: ServerRun): void {
    const {leavingAt, id} = instance;
    if (leavingAt === undefined) return;
    const now = performance.now();
    const from = leavingAt - CONTACT_MS;
    if (now < leavingAt + LEAVE_MS + MARGIN_MS) return;
    if (!this.disturbances.isCalm(from, now)) return;
    this.addFault(`${run.attemptId} reached ${id} long after it left`);
  }
}

/** An answer that is not whole counts as cut, whatever its status. */
function getEndKind(end: AttemptEnd): keyof EndCounts {
  if (end.kind === 'cut' || !end.isWhole) return 'cut';
  if (NOT_RUN_STATUSES.has(end.status)) return 'refused';
  return end.status === OK_STATUS ? 'answered' : 'failed';
}

/** Lists the ids of whole events; another text's event counts as id -1. */
function listEventIds(body: string, text: string): number[] {
  const ids: number[] = [];
  const blocks = text.split('\n\n');
  for (const block of blocks.slice(0, -1)) {
    const id = Number(/^id: (\d+)$/m.exec(block)?.[1] ?? -1);
    const data = /^data: (.*)$/m.exec(block)?.[1];
    ids.push(data === formatEventData(body, id) ? id : -1);
  }
  return ids;
}

function formatRun({attemptId, path, body}: ServerRun): string {
  return `${attemptId} (${path}, ${JSON.stringify(body)})`;
}
