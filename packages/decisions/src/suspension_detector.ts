/**
 * Detects that this machine was suspended. Its monotonic clock stops during a
 * suspension, so on wake-up everything that is judged by age looks fresh. The
 * only clock in Node that counts the suspension is the wall clock, which may
 * also be set. Therefore other hosts send their monotonic clocks with each
 * message, as witnesses.
 *
 * A message may be late but never early. Of all messages from a host, the one
 * with the largest lead of its clock over the local one had the least delay. If
 * the lead suddenly exceeds that, either the local clock stopped, or all
 * earlier messages were late. The wall clock tells which: after a suspension it
 * has advanced by the same amount. If it was set at the same time, two hosts
 * have to agree.
 */

/** The clocks at the arrival of a message, in ms. */
export interface ClockReading {
  readonly host: string;
  /** The sender's incarnation; each one has a new clock. */
  readonly incarnation: number;
  /** The sender's monotonic clock when the message was sent. */
  readonly theirMs: number;
  /** The local monotonic clock now; it stops during a suspension. */
  readonly ownMs: number;
  /** The wall clock now. */
  readonly wallMs: number;
}

/** The shortest suspension to detect, in ms; less may be a message's delay. */
const MIN_SUSPENSION_MS = 400;
/**
 * How long the reading of one host waits for a second witness, in ms. New
 * readings are also compared with the largest lead of at least this long ago,
 * and at most twice that. Messages sent during a suspension are read first, and
 * each of them shows only a little more of it than the one before.
 */
const WITNESS_MS = 2000;
/** The largest difference between witnesses that agree, in ms. */
const AGREEMENT_MS = 300;
/** Assumed drift of monotonic clocks, in ms per ms; twice a usual quartz's. */
const DRIFT = 0.0002;

/** The largest lead of another host's clock over the local one, in ms. */
class Lead {
  private recent: number;

  constructor(
    private known: number,
    private since: number,
  ) {
    this.recent = known;
  }

  /** Records a lead; returns by how much it exceeds the known maximum. */
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

  /** Adds a reported suspension, which enlarges the lead for good. */
  add(ms: number): void {
    this.known += ms;
  }
}

/** The lead of the wall clock over the local monotonic clock, in ms. */
class WallLead {
  private known: number | undefined;
  private latest = 0;
  private since = 0;

  /** Records a lead; returns by how much it changed recently. */
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

  /** Adds a reported suspension, which enlarges the lead for good. */
  add(ms: number): void {
    if (this.known !== undefined) this.known += ms;
  }
}

interface HostClock {
  readonly incarnation: number;
  readonly lead: Lead;
}

/** A suspension as the clock of one host shows it. */
interface Witness {
  readonly host: string;
  readonly ms: number;
  readonly at: number;
}

/** Detects suspensions from the clocks of messages. */
export class SuspensionDetector {
  private readonly clocks = new Map<string, HostClock>();
  private readonly wall = new WallLead();
  private witness: Witness | undefined;

  /**
   * Accepts the clocks of a message.
   *
   * @returns The duration of the suspension, in ms, without what was returned
   *     before; 0 for none.
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
    if (growth < MIN_SUSPENSION_MS) return 0;
    const witness = {host, ms: growth, at: ownMs};
    const ms = this.decideLength(witness, wallGrowth);
    if (ms > 0) this.addToLeads(ms);
    return ms;
  }

  /** Drops the clock of a host. */
  drop(host: string): void {
    this.clocks.delete(host);
  }

  private decideLength(witness: Witness, wallGrowth: number): number {
    // The wall clock counts suspensions; if it agrees with the local clock,
    // messages were late before.
    if (Math.abs(wallGrowth) < AGREEMENT_MS) return 0;
    if (wallGrowth >= witness.ms - AGREEMENT_MS) return witness.ms;
    // The wall clock was set meanwhile, so a second host has to agree.
    const before = this.witness;
    this.witness = witness;
    if (before === undefined || before.host === witness.host) return 0;
    if (witness.at - before.at > WITNESS_MS) return 0;
    if (Math.abs(witness.ms - before.ms) > AGREEMENT_MS) return 0;
    return Math.min(witness.ms, before.ms);
  }

  /** Adds a reported suspension to all leads; it isn't reported again. */
  private addToLeads(ms: number): void {
    this.witness = undefined;
    this.wall.add(ms);
    for (const {lead} of this.clocks.values()) lead.add(ms);
  }
}
