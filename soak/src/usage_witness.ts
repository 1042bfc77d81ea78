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
/** By how much counts may be off: a share, and at least so many requests. */
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
  /** What endpoints saw begin, by window. */
  private readonly begun = new Map<number, number>();
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
    const window = Math.floor(at / WINDOW_MS);
    this.begun.set(window, (this.begun.get(window) ?? 0) + 1);
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

  /** Lists what was broken; counts are checked of the given windows. */
  listFaults(checked: readonly number[]): string[] {
    const faults: string[] = [];
    for (const [window, bodies] of this.bodies) {
      if (bodies.size === 1) continue;
      const all = [...bodies].join(' and ');
      faults.push(`window ${window} was reported as ${all}`);
    }
    for (const window of checked) {
      const begun = this.begun.get(window) ?? 0;
      const reported = this.reported.get(window);
      const allowed = Math.max(ALLOWED_REQUESTS, begun * ALLOWED_SHARE);
      if (Math.abs((reported ?? Infinity) - begun) <= allowed) continue;
      const what = `reported ${reported ?? 'never'}, began ${begun}`;
      faults.push(`window ${window} in calm: ${what}`);
    }
    return faults;
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
