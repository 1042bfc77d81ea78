/**
 * The membership of the deployment as one host sees it. Each host is monitored
 * by a few others. A monitor that misses heartbeats gossips that the host is
 * suspect; the suspect refutes this when it learns of it, and is declared dead
 * after a timeout otherwise. Each new record is passed on once. See
 * docs/design/membership.md.
 */
import {isNewerNote, type MemberNote, type MemberState} from './member.js';
import {chooseWatchTargets} from './watch_targets.js';

/** Timeouts of the failure detection, in ms. */
export interface MembershipTimeouts {
  /** Without a heartbeat, until a host is suspected. */
  readonly suspectAfterMs: number;
  /** From suspect to dead. */
  readonly deadAfterMs: number;
  /** From suspect to dead if the host's address refuses connections. */
  readonly goneAfterMs: number;
  /** From dead until the record is removed. */
  readonly forgetAfterMs: number;
}

/** Default timeouts. */
export const DEFAULT_MEMBERSHIP_TIMEOUTS: MembershipTimeouts = {
  suspectAfterMs: 2500,
  deadAfterMs: 3000,
  goneAfterMs: 1000,
  forgetAfterMs: 600_000,
};

/** How long the same peers are returned for reconnecting, in milliseconds. */
const RECONNECT_TURN_MS = 1000;

interface Member {
  note: MemberNote;
  /** When the current state was entered. */
  since: number;
  /** Whether its address refused a connection in the current state. */
  isRefusing: boolean;
  /** Refused connections before this time are ignored. */
  refusalsFrom: number;
}

/** The membership as one host sees it. */
export class MembershipView {
  private readonly members = new Map<string, Member>();
  /** When each monitored host last sent a heartbeat. */
  private heardAt = new Map<string, number>();
  /** Peer addresses in the host list. */
  private listed: ReadonlySet<string> = new Set<string>();

  constructor(
    private own: MemberNote,
    private readonly times: MembershipTimeouts,
  ) {}

  /** This host's record of itself. */
  get self(): MemberNote {
    return this.own;
  }

  /** Finds the record of a host. */
  find(hostId: string): MemberNote | undefined {
    if (hostId === this.own.hostId) return this.own;
    return this.members.get(hostId)?.note;
  }

  /** Lists the records of all hosts, this one first. */
  list(): MemberNote[] {
    return [this.own, ...[...this.members.values()].map((m) => m.note)];
  }

  /** Lists the hosts that accept callers. */
  listServing(): MemberNote[] {
    return this.list().filter((note) => note.state === 'live');
  }

  /** Lists the hosts that this one should monitor now. */
  listWatchTargets(): MemberNote[] {
    const alive = this.list().filter((note) => note.state !== 'dead');
    const ids = chooseWatchTargets(
      this.own.hostId,
      alive.map((note) => note.hostId),
    );
    return alive.filter((note) => ids.includes(note.hostId));
  }

  /**
   * Counts the hosts that are reachable (`heard`) and those that should exist
   * (`known`), this one included in both.
   */
  countHosts(): {heard: number; known: number} {
    let heard = 1;
    const known = new Set([...this.listed, this.own.peerAddress]);
    for (const {note} of this.members.values()) {
      if (note.state !== 'dead') known.add(note.peerAddress);
      if (note.state === 'live' || note.state === 'leaving') heard++;
    }
    return {heard, known: known.size};
  }

  /** Updates this host's record of itself; returns it to be passed on. */
  updateSelf(change: {state?: MemberState; revision?: number}): MemberNote {
    const sequence = this.own.sequence + 1;
    this.own = {...this.own, ...change, sequence};
    return this.own;
  }

  /** Applies records from another host; returns those to be passed on. */
  applyNotes(notes: readonly MemberNote[], now: number): MemberNote[] {
    const news: MemberNote[] = [];
    for (const note of notes) {
      const taken =
        note.hostId === this.own.hostId
          ? this.correctSelf(note)
          : this.take(note, now);
      if (taken !== undefined) news.push(taken);
    }
    return news;
  }

  /**
   * Lists peer addresses to contact besides the monitored hosts: listed ones
   * without a record, and those of dead hosts, as the sides of a network
   * partition declare each other dead. The addresses rotate.
   */
  listReconnectPeers(count: number, now: number): string[] {
    const known = new Set(this.list().map((note) => note.peerAddress));
    const unknown = [...this.listed].filter((address) => !known.has(address));
    const dead = this.list().filter((note) => note.state === 'dead');
    const peers = [...unknown, ...dead.map((note) => note.peerAddress)];
    const first = Math.floor(now / RECONNECT_TURN_MS) * count;
    const turns = Array.from({length: Math.min(count, peers.length)});
    return turns.flatMap((_, at) => peers[(first + at) % peers.length] ?? []);
  }

  /** Sets the hosts from which heartbeats are expected from now on. */
  setWatched(hostIds: Iterable<string>, now: number): void {
    const heardAt = new Map<string, number>();
    for (const hostId of hostIds) {
      heardAt.set(hostId, this.heardAt.get(hostId) ?? now);
    }
    this.heardAt = heardAt;
  }

  /** Records a heartbeat; ignored unless the host is monitored. */
  recordHeartbeat(hostId: string, incarnation: string, now: number): void {
    const member = this.members.get(hostId);
    if (member?.note.incarnation !== incarnation) return;
    if (this.heardAt.has(hostId)) this.heardAt.set(hostId, now);
  }

  /**
   * Records that the address of a host refused a connection. Nothing listens
   * there, so the process is gone: a slow, frozen or partitioned host doesn't
   * refuse connections. The host is suspected at once and has less time to
   * refute it.
   */
  recordConnectionRefused(hostId: string, now: number): MemberNote[] {
    const member = this.members.get(hostId);
    if (member === undefined || member.note.state === 'dead') return [];
    if (now < member.refusalsFrom) return [];
    const wasSuspect = member.note.state === 'suspect';
    const note = wasSuspect ? [] : [this.setState(member, 'suspect', now)];
    member.isRefusing = true;
    return note;
  }

  /**
   * Applies the host list. It may be stale, so it only adds addresses and marks
   * hosts as leaving.
   *
   * @param peers The listed peer addresses with their states.
   */
  applyHostList(
    peers: ReadonlyMap<string, 'leaving' | 'live'>,
    now: number,
  ): MemberNote[] {
    this.listed = new Set(peers.keys());
    const news: MemberNote[] = [];
    for (const member of this.members.values()) {
      const listed = peers.get(member.note.peerAddress);
      if (listed !== 'leaving' || member.note.state !== 'live') continue;
      news.push(this.setState(member, 'leaving', now));
    }
    return news;
  }

  /** Applies expired timeouts; returns the records to be passed on. */
  applyTimeouts(now: number): MemberNote[] {
    const news: MemberNote[] = [];
    for (const [hostId, member] of [...this.members]) {
      const next = this.findNextState(member, now);
      if (next === 'forget') this.members.delete(hostId);
      else if (next !== undefined) news.push(this.setState(member, next, now));
    }
    return news;
  }

  private take(note: MemberNote, now: number): MemberNote | undefined {
    const member = this.members.get(note.hostId);
    if (member === undefined) {
      const fresh = {since: now, isRefusing: false, refusalsFrom: 0};
      this.members.set(note.hostId, {note, ...fresh});
      return note;
    }
    if (!isNewerNote(note, member.note)) return undefined;
    // A new incarnation gets the full timeout for its first heartbeat.
    if (note.incarnation !== member.note.incarnation) {
      this.heardAt.delete(note.hostId);
    }
    if (note.state !== member.note.state) member.since = now;
    if (note.state !== 'suspect') this.endRefusing(member, note, now);
    member.note = note;
    return note;
  }

  /**
   * Ends the suspicion due to refused connections. If the same incarnation
   * refuted it, refused connections are ignored for a while, so that a live
   * host with an unreachable address isn't suspected again and again.
   */
  private endRefusing(member: Member, note: MemberNote, now: number): void {
    const isSame = note.incarnation === member.note.incarnation;
    const isRefuted = member.isRefusing && isSame && note.state !== 'dead';
    if (isRefuted) member.refusalsFrom = now + this.times.suspectAfterMs;
    member.isRefusing = false;
  }

  /**
   * Handles a record about this host from others. Returns the own record if it
   * has to be passed on to refute an outdated or wrong one.
   */
  private correctSelf(note: MemberNote): MemberNote | undefined {
    const ours = this.own;
    if (note.incarnation > ours.incarnation) return undefined;
    if (note.incarnation < ours.incarnation) return ours;
    if (note.sequence < ours.sequence) return undefined;
    if (note.state === ours.state) return undefined;
    this.own = {...ours, sequence: note.sequence + 1};
    return this.own;
  }

  private findNextState(
    member: Member,
    now: number,
  ): MemberState | 'forget' | undefined {
    const {state} = member.note;
    const {suspectAfterMs, forgetAfterMs} = this.times;
    const inStateMs = now - member.since;
    if (state === 'dead') {
      return inStateMs < forgetAfterMs ? undefined : 'forget';
    }
    if (state === 'suspect') {
      const {deadAfterMs, goneAfterMs} = this.times;
      const timeoutMs = member.isRefusing ? goneAfterMs : deadAfterMs;
      return inStateMs >= timeoutMs ? 'dead' : undefined;
    }
    const heardAt = this.heardAt.get(member.note.hostId);
    if (heardAt === undefined) return undefined;
    return now - heardAt >= suspectAfterMs ? 'suspect' : undefined;
  }

  private setState(
    member: Member,
    state: MemberState,
    now: number,
  ): MemberNote {
    member.note = {...member.note, state};
    member.since = now;
    return member.note;
  }
}
