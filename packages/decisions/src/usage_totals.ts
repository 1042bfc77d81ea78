/**
 * The requests of all hosts by window and team, from the reports of hosts and a
 * checkpoint of an earlier collector. Reports of hosts that have died stay. The
 * checkpoint contains what the incarnations that it names had reported, in
 * three sums: that of lost incarnations, whose reports may be known to nobody
 * any more, that of unresponsive ones, which did not answer a collector and may
 * be lost or cut off, and that of all others. The totals of the unresponsive
 * ones and of the others are each the larger of their sum and the sum of their
 * reports. To these the sum of lost incarnations and the reports of incarnations
 * that the checkpoint does not name are added.
 */
import {UsageAnswers, type AnswerPart} from './usage_answers.js';
import type {TeamCounts, WindowCount} from './usage_counts.js';
import {
  addCounts,
  computeExcess,
  putCounts,
  toSums,
  toTeamCounts,
} from './usage_sums.js';

/** Counts of windows that are not final yet, by the number of the window. */
export type WindowCounts = Readonly<Record<string, TeamCounts>>;

/** What one incarnation of a host reported. */
export interface HostUsageReport {
  readonly host: string;
  /** The wall clock at the start of its process, in ms since 1970. */
  readonly incarnation: number;
  readonly counts: readonly WindowCount[];
  /** Its part in an answer to a request for all counts of open windows. */
  readonly answerPart?: AnswerPart;
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
  /** The part of the sums that belongs to unresponsive incarnations. */
  readonly unresponsive?: WindowCounts;
  /** The unresponsive incarnations, which are among the reported ones. */
  readonly unresponsiveIds?: readonly string[];
}

/** The counts of one incarnation. */
interface ReportedCounts {
  readonly host: string;
  readonly windows: Map<number, Map<string, number>>;
}

/** The sums of a window by team, in the parts of which a total consists. */
interface WindowSums {
  /** Of lost incarnations. */
  readonly lost: Map<string, number>;
  /** What the checkpoint has more of other incarnations than they reported. */
  readonly unreported: Map<string, number>;
  /** What the checkpoint has more of unresponsive ones than they reported. */
  readonly unresponsiveUnreported: Map<string, number>;
  /** Of the reports of unresponsive incarnations. */
  readonly unresponsiveReported: Map<string, number>;
  /** Of all other reports that are not in the sum of lost incarnations. */
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
  /** Those of the other incarnations that are unresponsive. */
  private unresponsiveIds: ReadonlySet<string> = new Set();
  /** The incarnations that answered since the checkpoint was set. */
  private readonly answers = new UsageAnswers();
  private isSettled = false;

  /** Takes cumulative counts, in any order and any number of times. */
  accept({host, incarnation, counts, answerPart}: HostUsageReport): void {
    const id = `${incarnation} ${host}`;
    // Answers decide nothing after the totals are settled.
    if (answerPart !== undefined && !this.isSettled) {
      this.answers.accept(id, answerPart);
    }
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
    this.answers.dropAll();
    this.isSettled = false;
    this.putCheckpoint(checkpoint);
  }

  /**
   * Assigns what the checkpoint has more than hosts reported to lost or
   * unresponsive incarnations, from a window on, once all hosts have had the
   * time to answer.
   * Otherwise the growth of live hosts would hide these counts. They belong to
   * the incarnations that did not answer. One that is cut off would count twice
   * as a lost one as soon as it answers this collector or the next one.
   */
  markSettled(fromWindow: number): void {
    if (this.isSettled) return;
    this.isSettled = true;
    const unresponsiveNow = this.listUnresponsiveNow();
    const isUnresponsiveAgain = unresponsiveNow.some((id) =>
      this.unresponsiveIds.has(id),
    );
    const isUnresponsiveOther = unresponsiveNow.some(
      (id) => !this.unresponsiveIds.has(id),
    );
    const windows: Record<string, TeamCounts> = {};
    const lost: Record<string, TeamCounts> = {};
    const unresponsive: Record<string, TeamCounts> = {};
    for (const window of this.listWindows()) {
      if (window < fromWindow) continue;
      const sums = this.computeSums(window);
      const unresponsiveSums = new Map<string, number>();
      addCounts(
        isUnresponsiveOther ? unresponsiveSums : sums.lost,
        sums.unreported,
      );
      addCounts(
        isUnresponsiveAgain ? unresponsiveSums : sums.lost,
        sums.unresponsiveUnreported,
      );
      for (const id of unresponsiveNow) {
        addCounts(unresponsiveSums, this.reports.get(id)?.windows.get(window));
      }
      putCounts(lost, window, sums.lost);
      putCounts(unresponsive, window, unresponsiveSums);
      addCounts(unresponsiveSums, sums.lost);
      putCounts(windows, window, unresponsiveSums);
    }
    const {lostIds} = this.checkpoint;
    // All other counts are in the reports of this collector.
    this.putCheckpoint({
      windows,
      lost,
      lostIds,
      reportedIds: unresponsiveNow,
      unresponsive,
      unresponsiveIds: unresponsiveNow,
    });
  }

  /** Computes the total of each team with any request in a window. */
  computeTotals(window: number): TeamCounts {
    return toTeamCounts(computeTotal(this.computeSums(window)));
  }

  /**
   * Takes the sums of a window and all later ones, once all live hosts have had
   * the time to answer: the totals are settled.
   */
  createCheckpoint(fromWindow: number): UsageCheckpoint {
    this.markSettled(fromWindow);
    const windows: Record<string, TeamCounts> = {};
    const lost: Record<string, TeamCounts> = {};
    const unresponsive: Record<string, TeamCounts> = {};
    const replaced = this.listReplaced();
    for (const window of this.listWindows()) {
      if (window < fromWindow) continue;
      const sums = this.computeSums(window);
      windows[window] = toTeamCounts(computeTotal(sums));
      for (const report of replaced.values()) {
        addCounts(sums.lost, report.windows.get(window));
      }
      putCounts(lost, window, sums.lost);
      addCounts(sums.unresponsiveReported, sums.unresponsiveUnreported);
      putCounts(unresponsive, window, sums.unresponsiveReported);
    }
    const lostIds = this.listLostIds(fromWindow, replaced);
    const unresponsiveIds =
      Object.keys(unresponsive).length > 0 ? [...this.unresponsiveIds] : [];
    const heardIds = this.listReportedIds(fromWindow, replaced);
    const reportedIds = [...new Set([...heardIds, ...unresponsiveIds])];
    return {windows, lost, lostIds, reportedIds, unresponsive, unresponsiveIds};
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
      if (windows.size > 0) continue;
      this.reports.delete(id);
      this.answers.drop(id);
    }
  }

  private putCheckpoint(checkpoint: UsageCheckpoint): void {
    this.checkpoint = checkpoint;
    this.lostIds = new Set(checkpoint.lostIds);
    this.reportedIds = new Set(checkpoint.reportedIds);
    this.unresponsiveIds = new Set(checkpoint.unresponsiveIds);
  }

  private computeSums(window: number): WindowSums {
    const {windows, lost, unresponsive = {}} = this.checkpoint;
    const earlier = new Map<string, number>();
    const later = new Map<string, number>();
    const unresponsiveReported = new Map<string, number>();
    const lostSums = toSums(lost[window]);
    // A checkpoint that is too long leaves out the latest windows.
    const hasLost = lost[window] !== undefined;
    for (const [id, report] of this.reports) {
      let sums = this.reportedIds.has(id) ? earlier : later;
      if (this.unresponsiveIds.has(id)) sums = unresponsiveReported;
      if (this.lostIds.has(id)) {
        if (hasLost) continue;
        sums = lostSums;
      }
      addCounts(sums, report.windows.get(window));
    }
    const unresponsiveSums = toSums(unresponsive[window]);
    const known = new Map(lostSums);
    addCounts(known, unresponsiveSums);
    addCounts(known, earlier);
    addCounts(earlier, later);
    return {
      lost: lostSums,
      unreported: computeExcess(toSums(windows[window]), known),
      unresponsiveUnreported: computeExcess(
        unresponsiveSums,
        unresponsiveReported,
      ),
      unresponsiveReported,
      reported: earlier,
    };
  }

  /**
   * Lists the incarnations after which their hosts reported as new ones, without
   * those in the sums of lost and unresponsive ones. The order of the first
   * reports decides: a host whose wall clock was set back has a lower
   * incarnation after its restart.
   */
  private listReplaced(): Map<string, ReportedCounts> {
    const newest = new Map<string, string>();
    for (const [id, {host}] of this.reports) newest.set(host, id);
    const replaced = new Map<string, ReportedCounts>();
    for (const [id, report] of this.reports) {
      if (id === newest.get(report.host)) continue;
      const isSummed = this.lostIds.has(id) || this.unresponsiveIds.has(id);
      if (!isSummed) replaced.set(id, report);
    }
    return replaced;
  }

  /** Lists the incarnations that may be cut off: not replaced, no answer. */
  private listUnresponsiveNow(): string[] {
    const replaced = this.listReplaced();
    return [...this.reportedIds].filter(
      (id) => !this.answers.has(id) && !replaced.has(id),
    );
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
function computeTotal(sums: WindowSums): Map<string, number> {
  const total = new Map<string, number>();
  addCounts(total, sums.lost);
  addCounts(total, sums.unreported);
  addCounts(total, sums.unresponsiveUnreported);
  addCounts(total, sums.unresponsiveReported);
  addCounts(total, sums.reported);
  return total;
}
