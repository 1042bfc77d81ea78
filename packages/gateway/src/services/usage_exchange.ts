/**
 * Counts the requests that endpoints began for this host, sends the counts to
 * the hosts that may report them, and keeps what other hosts send. A host that
 * takes the task `usage` over asks all hosts for their counts, which also tells
 * them where to send further ones.
 */
import {
  ClockFilter,
  computeWindow,
  computeWindowEnd,
  HostTimes,
  MAX_FIRST_REPORT_AGE_MS,
  UsageCounts,
  UsageTotals,
  WHOLE_ANSWER,
  type WindowCount,
} from '@irisdock/decisions';
import type {Clock} from '@irisdock/kernel';
import type {
  BegunReportDatagram,
  BegunRequestDatagram,
} from '../model/begun_datagram.js';
import type {TaskRegistry} from '../model/singleton_task.js';
import type {BegunDatagramHandler} from './datagram_handlers.js';
import type {Peers} from './peer_hosts.js';

/** The interval between two sends of changed counts, in ms. */
export const USAGE_TICK_MS = 250;
/**
 * A longer delay of a tick, in ms, shows that this host stood still: datagrams
 * that waited meanwhile would make the clocks of their senders look behind.
 */
const MAX_TICK_DELAY_MS = 50;
/** The interval between two samples of the clocks, in ms. */
const CLOCK_SAMPLE_MS = 1000;
/**
 * The delay after the end of a window until its counts are sent once more, in
 * ms, by which most plain calls of the window have their answer.
 */
const FINAL_SEND_DELAY_MS = 600;
/**
 * How long before a window becomes final the last counts of it are taken, in ms:
 * two ticks, as a datagram may be lost, and the time that it needs.
 */
const LAST_COUNT_MS = 2 * USAGE_TICK_MS + 250;
/** The maximum length of the counts in a datagram, to fit an Ethernet frame. */
const MAX_COUNTS_BYTES = 1000;
/** The length of an encoded count without the name of its team, in bytes. */
const COUNT_BYTES = 14;

/** Dependencies of the exchange. */
export interface UsageExchangeParts {
  readonly name: string;
  readonly incarnation: number;
  readonly windowMs: number;
  /** How long after its end a window is finalized, in ms. */
  readonly finalizeMs: number;
  readonly peers: Pick<Peers, 'sendToAll' | 'sendToNames'>;
  readonly tasks: Pick<TaskRegistry, 'listCandidates'>;
  readonly clock: Pick<Clock, 'getNow' | 'getWallNow'>;
}

/** Counts, sends and collects begun requests. */
export class UsageExchange implements BegunDatagramHandler {
  /** What this host received, its own counts included. */
  readonly totals = new UsageTotals();
  /** The window in which this host started. */
  readonly startWindow: number;
  private readonly counts = new UsageCounts();
  private readonly filter = new ClockFilter();
  private readonly hostTimes = new HostTimes();
  private sampledAt = -Infinity;
  private tickedAt = -Infinity;
  /** Whether the last tick came in time. */
  private isTickPunctual = false;
  private holder: string | undefined;
  /** The number of the last answer to a request for counts. */
  private lastAnswer = 0;
  /** The first window whose counts were not sent after its end. */
  private openWindow: number;

  constructor(private readonly parts: UsageExchangeParts) {
    this.measureClocks();
    this.startWindow = computeWindow(this.getTime(), parts.windowMs);
    this.openWindow = this.startWindow;
  }

  /** Returns the time in ms since 1970, which steps of the clock don't move. */
  getTime(): number {
    return this.hostTimes.getTime(this.parts.clock.getNow());
  }

  /** Counts a request that began at a time of the monotonic clock. */
  recordBegun(team: string, at: number): void {
    const timeMs = this.hostTimes.getTime(at);
    this.counts.add(computeWindow(timeMs, this.parts.windowMs), team);
  }

  /**
   * Computes when a request that was sent at a time must be counted, both on the
   * monotonic clock in ms, to be in its window.
   */
  computeLatestCount(sentAt: number): number {
    const {windowMs, finalizeMs} = this.parts;
    const timeMs = this.hostTimes.getTime(sentAt);
    const endMs = computeWindowEnd(computeWindow(timeMs, windowMs), windowMs);
    const delayMs = Math.max(0, finalizeMs - LAST_COUNT_MS);
    return sentAt + (endMs - timeMs) + delayMs;
  }

  /** Samples the clocks, sends what changed, and drops old windows. */
  startTick(): void {
    const now = this.parts.clock.getNow();
    this.isTickPunctual = this.isWithinTick(now);
    this.tickedAt = now;
    this.measureClocks();
    this.markEnded();
    this.dropOld();
    const due = this.counts.takeDue();
    if (due.length === 0) return;
    const {name, tasks} = this.parts;
    const targets = new Set(tasks.listCandidates('usage'));
    if (this.holder !== undefined) targets.add(this.holder);
    targets.delete(name);
    this.sendCounts([...targets], due);
  }

  /** Asks all hosts for their counts, from a window on. */
  pollCounts(fromWindow: number): void {
    const {name, peers} = this.parts;
    this.holder = name;
    peers.sendToAll({kind: 'begun-ask', name, fromWindow});
    this.acceptOwn(this.counts.listFrom(fromWindow));
  }

  acceptBegunReport(report: BegunReportDatagram): void {
    const {name: host, time} = report;
    const now = this.parts.clock.getNow();
    if (this.isTickPunctual && this.isWithinTick(now)) {
      this.hostTimes.accept(host, time, now);
    }
    this.totals.accept({host, ...report});
  }

  acceptBegunRequest({name, fromWindow}: BegunRequestDatagram): void {
    this.holder = name;
    const counts = this.counts.listFrom(fromWindow);
    if (counts.length > 0) this.sendCounts([name], counts, ++this.lastAnswer);
  }

  /** Takes all counts of this host into the totals. */
  acceptOwnCounts(): void {
    this.acceptOwn(this.counts.listFrom(0));
  }

  private acceptOwn(counts: readonly WindowCount[]): void {
    const {name: host, incarnation} = this.parts;
    if (counts.length === 0) return;
    this.totals.accept({host, incarnation, counts, answerPart: WHOLE_ANSWER});
  }

  private sendCounts(
    names: readonly string[],
    counts: readonly WindowCount[],
    answer?: number,
  ): void {
    this.acceptOwn(counts);
    if (names.length === 0) return;
    const {name, incarnation, peers, clock} = this.parts;
    // The time by its own clocks: the times of these hosts are no evidence.
    const time = this.filter.getTime(clock.getNow());
    const sender = {kind: 'begun-report', name, incarnation, time} as const;
    const parts = splitCounts(counts);
    const count = parts.length;
    for (const [index, part] of parts.entries()) {
      const isAnswer = answer !== undefined;
      const fields = isAnswer ? {answerPart: {answer, index, count}} : {};
      peers.sendToNames(names, {...sender, counts: part, ...fields});
    }
  }

  private isWithinTick(now: number): boolean {
    return now - this.tickedAt <= USAGE_TICK_MS + MAX_TICK_DELAY_MS;
  }

  private measureClocks(): void {
    const {clock} = this.parts;
    const now = clock.getNow();
    if (now - this.sampledAt < CLOCK_SAMPLE_MS) return;
    this.sampledAt = now;
    this.filter.addSample(clock.getWallNow(), now);
    this.hostTimes.addSample(this.filter.getTime(now), now);
  }

  private markEnded(): void {
    const {windowMs} = this.parts;
    const endedBefore = this.getTime() - FINAL_SEND_DELAY_MS;
    // After a long stall, only windows that are still kept are visited.
    const oldest = computeWindow(
      endedBefore - MAX_FIRST_REPORT_AGE_MS,
      windowMs,
    );
    this.openWindow = Math.max(this.openWindow, oldest);
    while (computeWindowEnd(this.openWindow, windowMs) <= endedBefore) {
      this.counts.markEnded(this.openWindow);
      this.openWindow++;
    }
  }

  private dropOld(): void {
    const {windowMs} = this.parts;
    const keptFrom = this.getTime() - MAX_FIRST_REPORT_AGE_MS - windowMs;
    const window = computeWindow(keptFrom, windowMs);
    this.counts.dropBefore(window);
    this.totals.dropBefore(window);
  }
}

/** Splits counts into parts that fit into a datagram. */
function splitCounts(counts: readonly WindowCount[]): WindowCount[][] {
  const parts: WindowCount[][] = [];
  let part: WindowCount[] = [];
  let bytes = 0;
  for (const count of counts) {
    const length = COUNT_BYTES + Buffer.byteLength(count.team);
    if (part.length > 0 && bytes + length > MAX_COUNTS_BYTES) {
      parts.push(part);
      part = [];
      bytes = 0;
    }
    part.push(count);
    bytes += length;
  }
  return part.length === 0 ? parts : [...parts, part];
}
