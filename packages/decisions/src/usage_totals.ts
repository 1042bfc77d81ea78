/**
 * The requests of all hosts by window and team, from the reports of hosts and a
 * checkpoint of an earlier collector. Reports of hosts that have died stay. The
 * checkpoint contains what the incarnations that it names had reported, in
 * two sums: that of lost incarnations, whose reports may be known to nobody any
 * more, and that of all others. The total of the others is the larger of their
 * sum and the sum of their reports. To it the sum of lost incarnations and the
 * reports of incarnations that it does not name are added.
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
  /** The sums of all incarnations. */
  readonly windows: WindowCounts;
  /** The part of these sums that belongs to lost incarnations. */
  readonly lost: WindowCounts;
  /**
   * The lost incarnations of which the collector had reports; a collector that
   * has them too must not add them again.
   */
  readonly lostIds: readonly string[];
  /** The incarnations that are not lost and whose reports are in the sums. */
  readonly reportedIds: readonly string[];
}

/** The counts of one incarnation. */
interface ReportedCounts {
  readonly host: string;
  readonly windows: Map<number, Map<string, number>>;
}

/** The sums of a window by team, in the parts of which a total consists. */
interface WindowSums {
  /** Of lost incarnations, as the checkpoint has them. */
  readonly lost: Map<string, number>;
  /** What the checkpoint has more of other incarnations than they reported. */
  readonly unreported: Map<string, number>;
  /** Of all reports that are not in the sum of lost incarnations. */
  readonly reported: Map<string, number>;
}

const NO_CHECKPOINT: UsageCheckpoint = {
  windows: {},
  lost: {},
  lostIds: [],
  reportedIds: [],
};

/** Merges the counts of all hosts. */
export class UsageTotals {
  private readonly reports = new Map<string, ReportedCounts>();
  private checkpoint = NO_CHECKPOINT;
  /** The lost incarnations of the checkpoint. */
  private lostIds: ReadonlySet<string> = new Set();
  /** The other incarnations of the checkpoint. */
  private reportedIds: ReadonlySet<string> = new Set();

  /** Takes cumulative counts, in any order and any number of times. */
  accept({host, incarnation, counts}: HostUsageReport): void {
    const id = `${incarnation} ${host}`;
    let report = this.reports.get(id);
    if (report === undefined) {
      report = {host, windows: new Map()};
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
    this.lostIds = new Set(checkpoint.lostIds);
    this.reportedIds = new Set(checkpoint.reportedIds);
  }

  /**
   * Assigns what the checkpoint has more than live hosts reported to lost
   * incarnations, from a window on, once these hosts have had the time to report.
   * Otherwise the growth of live hosts would hide these counts.
   */
  markSettled(fromWindow: number): void {
    const {lost, lostIds} = this.createCheckpoint(fromWindow);
    // All other counts are in the reports of this collector.
    this.setCheckpoint({windows: lost, lost, lostIds, reportedIds: []});
  }

  /** Computes the total of each team with any request in a window. */
  computeTotals(window: number): TeamCounts {
    return toTeamCounts(computeTotal(this.computeSums(window)));
  }

  /**
   * Takes the sums of a window and all later ones, once all live hosts have had
   * the time to report: what the loaded checkpoint has more belongs to lost
   * incarnations.
   */
  createCheckpoint(fromWindow: number): UsageCheckpoint {
    const windows: Record<string, TeamCounts> = {};
    const lost: Record<string, TeamCounts> = {};
    const replaced = this.listReplaced();
    for (const window of this.listWindows()) {
      if (window < fromWindow) continue;
      const sums = this.computeSums(window);
      windows[window] = toTeamCounts(computeTotal(sums));
      addCounts(sums.lost, sums.unreported);
      for (const report of replaced.values()) {
        addCounts(sums.lost, report.windows.get(window));
      }
      if (sums.lost.size > 0) lost[window] = toTeamCounts(sums.lost);
    }
    const lostIds = this.listLostIds(fromWindow, replaced);
    const reportedIds = this.listReportedIds(fromWindow, replaced);
    return {windows, lost, lostIds, reportedIds};
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

  private computeSums(window: number): WindowSums {
    const {windows, lost} = this.checkpoint;
    const earlier = new Map<string, number>();
    const later = new Map<string, number>();
    for (const [id, report] of this.reports) {
      if (this.lostIds.has(id)) continue;
      const sums = this.reportedIds.has(id) ? earlier : later;
      addCounts(sums, report.windows.get(window));
    }
    const lostSums = new Map(Object.entries(lost[window] ?? {}));
    const unreported = new Map<string, number>();
    for (const [team, count] of Object.entries(windows[window] ?? {})) {
      const known = (lostSums.get(team) ?? 0) + (earlier.get(team) ?? 0);
      if (count > known) unreported.set(team, count - known);
    }
    addCounts(earlier, later);
    return {lost: lostSums, unreported, reported: earlier};
  }

  /**
   * Lists the incarnations after which their hosts reported as new ones. The
   * order of the first reports decides: a host whose wall clock was set back has
   * a lower incarnation after its restart.
   */
  private listReplaced(): Map<string, ReportedCounts> {
    const newest = new Map<string, string>();
    for (const [id, {host}] of this.reports) newest.set(host, id);
    const replaced = new Map<string, ReportedCounts>();
    for (const [id, report] of this.reports) {
      const isReplaced = id !== newest.get(report.host);
      if (isReplaced && !this.lostIds.has(id)) replaced.set(id, report);
    }
    return replaced;
  }

  /** Lists the lost incarnations with counts from a window on. */
  private listLostIds(
    fromWindow: number,
    replaced: ReadonlyMap<string, ReportedCounts>,
  ): string[] {
    const {lost} = this.checkpoint;
    const isOpen = (window: number): boolean => window >= fromWindow;
    const hasOpen = Object.keys(lost).map(Number).some(isOpen);
    const ids = hasOpen ? [...this.lostIds] : [];
    for (const [id, {windows}] of replaced) {
      if ([...windows.keys()].some(isOpen)) ids.push(id);
    }
    return ids;
  }

  /** Lists the other incarnations with counts from a window on. */
  private listReportedIds(
    fromWindow: number,
    replaced: ReadonlyMap<string, ReportedCounts>,
  ): string[] {
    const ids: string[] = [];
    for (const [id, {windows}] of this.reports) {
      if (this.lostIds.has(id) || replaced.has(id)) continue;
      if (Math.max(...windows.keys()) >= fromWindow) ids.push(id);
    }
    return ids;
  }

  private listWindows(): Set<number> {
    const listed = new Set(Object.keys(this.checkpoint.windows).map(Number));
    for (const {windows} of this.reports.values()) {
      for (const window of windows.keys()) listed.add(window);
    }
    return listed;
  }
}

/** Adds the parts up. */
function computeTotal({
  lost,
  unreported,
  reported,
}: WindowSums): Map<string, number> {
  const total = new Map(reported);
  addCounts(total, lost);
  addCounts(total, unreported);
  return total;
}

function addCounts(
  sums: Map<string, number>,
  counts: ReadonlyMap<string, number> = new Map(),
): void {
  for (const [team, count] of counts) {
    sums.set(team, count + (sums.get(team) ?? 0));
  }
}

function toTeamCounts(sums: ReadonlyMap<string, number>): TeamCounts {
  return Object.fromEntries([...sums].sort(compareTeams));
}

function compareTeams(
  [one]: readonly [string, number],
  [other]: readonly [string, number],
): number {
  return one < other ? -1 : 1;
}
