/**
 * Holds usage reports, as they arrived at the platform's API, against two
 * promises: a window never has two bodies, and in calm each window is reported
 * with what the endpoints of the soak saw begin.
 */
import type {ApiCall} from '@irisdock/users-platform/fixtures';
import {CRASH_PREFIX} from './crash_witness.js';
import {isStream} from './request_kinds.js';
import type {Attempt} from './witness.js';

/**
 * The length of a window, in seconds. A host and an endpoint may see a request
 * on two sides of the end of a window. In windows of 1 s counts differed by up to
 * 4 of 41 requests, while the sums of nine windows differed by 1 at most.
 */
export const WINDOW_SECONDS = 3;
/** A report is due so long after the end of its window, in seconds. */
export const DUE_SECONDS = 5;
const MS_PER_SECOND = 1000;
const WINDOW_MS = WINDOW_SECONDS * MS_PER_SECOND;
/**
 * By how much counts may be off: a share, and at least so many requests. The sum
 * of the checked windows may be off by as much as one window.
 */
const ALLOWED_SHARE = 0.05;
const ALLOWED_REQUESTS = 2;

/** A time in which windows are held against what endpoints saw. */
export interface CheckedSpan {
  /** Times of the wall clock, in ms. */
  readonly from: number;
  readonly until: number;
}

/** The witness. */
export class UsageWitness {
  private readonly bodies = new Map<number, Set<string>>();
  /** The total of the accepted report of each window. */
  private readonly reported = new Map<number, number>();
  /** When endpoints saw requests begin, by the wall clock in ms. */
  private readonly begunTimes: number[] = [];
  private readonly begunStreams = new Set<string>();

  /** Records a call that arrived. */
  recordCall({report, isAccepted}: ApiCall): void {
    if (report === undefined) return;
    const {window, counts} = report;
    const bodies = this.bodies.get(window) ?? new Set();
    bodies.add(JSON.stringify(Object.entries(counts).sort()));
    this.bodies.set(window, bodies);
    if (!isAccepted) return;
    const total = Object.values(counts).reduce((sum, one) => sum + one, 0);
    this.reported.set(window, total);
  }

  /** Records that an endpoint began a run; `at` is of the wall clock, in ms. */
  recordRun(attempt: Attempt, at: number): void {
    if (!this.isCounted(attempt)) return;
    this.begunTimes.push(at);
  }

  /** Lists the windows within a time whose reports are due. */
  listChecked({from, until}: CheckedSpan, now: number): number[] {
    const windows: number[] = [];
    const dueUntil = Math.min(until, now - DUE_SECONDS * MS_PER_SECOND);
    const first = Math.ceil(from / WINDOW_MS);
    for (let window = first; (window + 1) * WINDOW_MS <= dueUntil; window++) {
      windows.push(window);
    }
    return windows;
  }

  /**
   * Lists what was broken; counts are checked of the given windows.
   *
   * @param edgeMs How far apart host and endpoint may see a request begin, in
   *     ms: those nearer to the end of a window may be in either one.
   */
  listFaults(checked: readonly number[], edgeMs: number): string[] {
    const faults: string[] = [];
    for (const [window, bodies] of this.bodies) {
      if (bodies.size === 1) continue;
      const all = [...bodies].join(' and ');
      faults.push(`window ${window} was reported as ${all}`);
    }
    const wrong = checked.flatMap((one) => this.listWrong([one], edgeMs));
    // Requests that are lost or counted twice add up over windows.
    const all = wrong.length === 0 ? this.listWrong(checked, edgeMs) : wrong;
    return [...faults, ...all];
  }

  /** Says whether the sum of windows that follow each other is wrong. */
  private listWrong(windows: readonly number[], edgeMs: number): string[] {
    const [first] = windows;
    if (first === undefined) return [];
    const from = first * WINDOW_MS;
    const until = from + windows.length * WINDOW_MS;
    const begun = this.countBegun(from, until);
    const certain = this.countBegun(from + edgeMs, until - edgeMs);
    const possible = this.countBegun(from - edgeMs, until + edgeMs);
    const share = (begun / windows.length) * ALLOWED_SHARE;
    const allowed = Math.max(ALLOWED_REQUESTS, share);
    let reported = 0;
    for (const one of windows) reported += this.reported.get(one) ?? NaN;
    const isRight =
      reported >= certain - allowed && reported <= possible + allowed;
    if (isRight) return [];
    const told = Number.isNaN(reported) ? 'never' : reported;
    const what = `reported ${told}, began ${begun}`;
    const range = `${certain} to ${possible} within ${Math.round(edgeMs)} ms`;
    return [`window ${windows.join(', ')} in calm: ${what}, ${range}`];
  }

  private countBegun(from: number, until: number): number {
    return this.begunTimes.filter((at) => at >= from && at < until).length;
  }

  /**
   * Whether a run is one more request that began at an endpoint. All callers
   * send the team's key, also on public routes.
   */
  private isCounted({attemptId, kind, body, resumes}: Attempt): boolean {
    if (!isStream(kind)) return true;
    // A stream begins with its first event, and begins once.
    if (resumes !== undefined || body.startsWith(CRASH_PREFIX)) return false;
    if (this.begunStreams.has(attemptId)) return false;
    this.begunStreams.add(attemptId);
    return true;
  }
}
