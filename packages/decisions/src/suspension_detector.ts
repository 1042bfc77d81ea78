/**
 * Notices that this machine was suspended. Its steady clock stands still then,
 * so whatever it judges by age looks fresh when it wakes. Node reads no clock
 * that counts the suspension but the time of day, which may also be set; so the
 * steady clocks of other hosts are witnesses, which they tell with each message.
 *
 * A message may be late but never early. Of all messages of a host, the one by
 * which its clock was furthest ahead of the own one had the least delay; a clock
 * that is suddenly further ahead than that shows that the own one stood still, or
 * that all messages were late before. The time of day tells which: it has gone on
 * as far. Where it was set at the same time, two hosts have to agree.
 */

/** What a message says of clocks; all in ms. */
export interface ClockReading {
  readonly host: string;
  /** Which life of that host it is; a new one has a new clock. */
  readonly incarnation: number;
  /** The sender's steady clock when the message was sent. */
  readonly theirMs: number;
  /** The own steady clock now; it stands still during a suspension. */
  readonly ownMs: number;
  /** The time of day now. */
  readonly wallMs: number;
}

/** Less than this is no suspension, in ms: a message may be late by itself. */
const LEAST_MS = 400;
/**
 * How long a host's word waits for a second one, and what was known before counts
 * beside what is new, in ms; twice that at most. Messages that were sent during
 * the suspension are read first, and each says a little more than the last.
 */
const WITNESS_MS = 2000;
/** By how much witnesses may differ, in ms. */
const AGREEMENT_MS = 300;
/** By how much steady clocks may run apart, in ms a ms; twice a usual quartz's. */
const DRIFT = 0.0002;

/** By how much another clock was ahead of the own one at most, in ms. */
class Lead {
  private recent: number;

  constructor(
    private known: number,
    private since: number,
  ) {
    this.recent = known;
  }

  /** Takes a lead; gives by how much it is beyond what was known. */
  accept(lead: number, now: number): number {
    const elapsed = now - this.since;
    if (elapsed >= WITNESS_MS) {
      this.known = Math.max(this.known - elapsed * DRIFT, this.recent);
      this.recent = lead;
      this.since = now;
    }
    this.recent = Math.max(this.recent, lead);
    return lead - this.known;
  }

  /** Takes it that the own clock has made up for a time. */
  add(ms: number): void {
    this.known += ms;
  }
}

/** By how much the time of day was ahead of the own clock, in ms. */
class WallLead {
  private known: number | undefined;
  private latest = 0;
  private since = 0;

  /** Takes a lead; gives by how much it has changed of late. */
  accept(lead: number, now: number): number {
    if (this.known === undefined) {
      this.known = lead;
      this.latest = lead;
      this.since = now;
    }
    if (now - this.since >= WITNESS_MS) {
      this.known = this.latest;
      this.since = now;
    }
    this.latest = lead;
    return lead - this.known;
  }

  /** Takes it that the own clock has made up for a time. */
  add(ms: number): void {
    if (this.known !== undefined) this.known += ms;
  }
}

interface HostClock {
  readonly incarnation: number;
  readonly lead: Lead;
}

interface Word {
  readonly host: string;
  readonly ms: number;
  readonly at: number;
}

/** Compares clocks. */
export class SuspensionDetector {
  private readonly clocks = new Map<string, HostClock>();
  private readonly wall = new WallLead();
  private word: Word | undefined;

  /**
   * Takes what a message says.
   *
   * @returns For how long the machine was suspended, in ms, as far as it is not
   *   told yet; 0 for not at all.
   */
  accept({host, incarnation, theirMs, ownMs, wallMs}: ClockReading): number {
    const wallGrowth = this.wall.accept(wallMs - ownMs, ownMs);
    const lead = theirMs - ownMs;
    const clock = this.clocks.get(host);
    if (clock?.incarnation !== incarnation) {
      this.clocks.set(host, {incarnation, lead: new Lead(lead, ownMs)});
      return 0;
    }
    const growth = clock.lead.accept(lead, ownMs);
    if (growth < LEAST_MS) return 0;
    const word = {host, ms: growth, at: ownMs};
    const ms = this.decideLength(word, wallGrowth);
    if (ms > 0) this.addToLeads(ms);
    return ms;
  }

  /** Forgets a host. */
  drop(host: string): void {
    this.clocks.delete(host);
  }

  private decideLength(word: Word, wallGrowth: number): number {
    // It counts suspensions; what it does not show was a delay of messages.
    if (Math.abs(wallGrowth) < AGREEMENT_MS) return 0;
    if (wallGrowth >= word.ms - AGREEMENT_MS) return word.ms;
    // It was set in the meantime: another host has to say the same.
    const before = this.word;
    this.word = word;
    if (before === undefined || before.host === word.host) return 0;
    if (word.at - before.at > WITNESS_MS) return 0;
    if (Math.abs(word.ms - before.ms) > AGREEMENT_MS) return 0;
    return Math.min(word.ms, before.ms);
  }

  /** What was told of is in all leads from now on. */
  private addToLeads(ms: number): void {
    this.word = undefined;
    this.wall.add(ms);
    for (const {lead} of this.clocks.values()) lead.add(ms);
  }
}
