/**
 * The requests of all hosts by window and team, from the reports of hosts and a
 * checkpoint of an earlier collector. Reports of hosts that have died stay. The
 * checkpoint contains what incarnations that started before it had reported, in
 * one sum: their total is the larger of that sum and the sum of their reports.
 * Incarnations that started later are added to it.
 */
import type {TeamCounts, WindowCount} from './usage_counts.js';

/** Counts of windows that are not final yet, by the number of the window. */
export type WindowCounts = Readonly<Record<string, TeamCounts>>;

/** What one incarnation of a host reported. */
export interface HostUsageReport {
  readonly host: string;
  /** The wall clock at the start of its process, in ms since 1970. */
  readonly incarnation: number;
  readonly counts: readonly WindowCount[];
}

/** Sums over all hosts. */
export interface UsageCheckpoint {
  /** When the sums were taken, in ms since 1970. */
  readonly takenAt: number;
  readonly windows: WindowCounts;
}

/** The counts of one incarnation. */
interface ReportedCounts {
  readonly incarnation: number;
  readonly windows: Map<number, Map<string, number>>;
}

const NO_CHECKPOINT: UsageCheckpoint = {takenAt: -Infinity, windows: {}};

/** Merges the counts of all hosts. */
export class UsageTotals {
  private readonly reports = new Map<string, ReportedCounts>();
  private checkpoint = NO_CHECKPOINT;

  /** Takes cumulative counts, in any order and any number of times. */
  accept({host, incarnation, counts}: HostUsageReport): void {
    const id = `${incarnation} ${host}`;
    let report = this.reports.get(id);
    if (report === undefined) {
      report = {incarnation, windows: new Map()};
      this.reports.set(id, report);
    }
    for (const {window, team, count} of counts) {
      let teams = report.windows.get(window);
      if (teams === undefined) {
        teams = new Map();
        report.windows.set(window, teams);
      }
      teams.set(team, Math.max(count, teams.get(team) ?? 0));
    }
  }

  /** Replaces the checkpoint on which the totals build. */
  setCheckpoint(checkpoint: UsageCheckpoint): void {
    this.checkpoint = checkpoint;
  }

  /** Computes the total of each team with any request in a window. */
  computeTotals(window: number): TeamCounts {
    const earlier = new Map<string, number>();
    const later = new Map<string, number>();
    for (const {incarnation, windows} of this.reports.values()) {
      const isLater = incarnation >= this.checkpoint.takenAt;
      addCounts(isLater ? later : earlier, windows.get(window));
    }
    const stored = this.checkpoint.windows[window] ?? {};
    for (const [team, count] of Object.entries(stored)) {
      earlier.set(team, Math.max(count, earlier.get(team) ?? 0));
    }
    addCounts(earlier, later);
    return Object.fromEntries([...earlier].sort(compareTeams));
  }

  /** Takes the sums of a window and all later ones. */
  createCheckpoint(fromWindow: number, takenAt: number): UsageCheckpoint {
    const windows: Record<string, TeamCounts> = {};
    for (const window of this.listWindows()) {
      if (window >= fromWindow) windows[window] = this.computeTotals(window);
    }
    return {takenAt, windows};
  }

  /** Returns the earliest window with a count; undefined if there is none. */
  findFirstWindow(): number | undefined {
    const windows = this.listWindows();
    return windows.size === 0 ? undefined : Math.min(...windows);
  }

  /** Drops the windows before one. */
  dropBefore(window: number): void {
    for (const [id, {windows}] of this.reports) {
      for (const one of windows.keys()) {
        if (one < window) windows.delete(one);
      }
      if (windows.size === 0) this.reports.delete(id);
    }
  }

  private listWindows(): Set<number> {
    const listed = new Set(Object.keys(this.checkpoint.windows).map(Number));
    for (const {windows} of this.reports.values()) {
      for (const window of windows.keys()) listed.add(window);
    }
    return listed;
  }
}

function addCounts(
  sums: Map<string, number>,
  counts: ReadonlyMap<string, number> = new Map(),
): void {
  for (const [team, count] of counts) {
    sums.set(team, count + (sums.get(team) ?? 0));
  }
}

function compareTeams(
  [one]: readonly [string, number],
  [other]: readonly [string, number],
): number {
  return one < other ? -1 : 1;
}
