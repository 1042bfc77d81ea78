/**
 * The hosts of the deployment as one host sees them. Each host is watched by
 * a few others; a watcher that hears nothing passes on that the host is
 * suspect; the host itself, when it hears that, contradicts; a suspect that
 * does not is dead after a while. What is news is passed on once.
 * docs/design/membership.md.
 */
import {isNewerNote, type MemberNote, type MemberState} from './member.js';
import {chooseWatchTargets} from './watch_targets.js';

/** When silence becomes suspicion and suspicion certainty, in ms. */
export interface MembershipTimeouts {
  readonly suspectAfterMs: number;
  readonly deadAfterMs: number;
  /** The same for a suspect whose address refuses connections. */
  readonly goneAfterMs: number;
  /** When a dead host is forgotten. */
  readonly forgetAfterMs: number;
}

/** The times unless settings say otherwise. */
export const DEFAULT_MEMBERSHIP_TIMEOUTS: MembershipTimeouts = {
  suspectAfterMs: 2500,
  deadAfterMs: 3000,
  goneAfterMs: 1000,
  forgetAfterMs: 600_000,
};

/** How long a peer that is tried has its turn, in milliseconds. */
const TRY_TURN_MS = 1000;

interface Member {
  note: MemberNote;
  /** When the present state was taken. */
  since: number;
  /** Whether its address refused a connection in the present state. */
  isRefusing: boolean;
  /** From when on a refusal counts; it contradicted one before. */
  refusalsFrom: number;
}

/** The hosts as one host sees them. */
export class MembershipView {
  private readonly members = new Map<string, Member>();
  /** When the watched hosts were last heard. */
  private heardAt = new Map<string, number>();
  private listed: ReadonlySet<string> = new Set<string>();

  constructor(
    private own: MemberNote,
    private readonly times: MembershipTimeouts,
  ) {}

  /** The note that this host gives of itself. */
  get self(): MemberNote {
    return this.own;
  }

  /** Gives the note on a host. */
  find(hostId: string): MemberNote | undefined {
    if (hostId === this.own.hostId) return this.own;
    return this.members.get(hostId)?.note;
  }

  /** Gives the notes on all hosts, this one first. */
  list(): MemberNote[] {
    return [this.own, ...[...this.members.values()].map((m) => m.note)];
  }

  /** Gives the hosts that callers may be sent to. */
  listServing(): MemberNote[] {
    return this.list().filter((note) => note.state === 'live');
  }

  /** Gives the hosts to watch now. */
  listWatchTargets(): MemberNote[] {
    const alive = this.list().filter((note) => note.state !== 'dead');
    const ids = chooseWatchTargets(
      this.own.hostId,
      alive.map((note) => note.hostId),
    );
    return alive.filter((note) => ids.includes(note.hostId));
  }

  /** Counts the hosts heard of late and the hosts there should be. */
  countHosts(): {heard: number; known: number} {
    let heard = 1;
    const known = new Set([...this.listed, this.own.peerAddress]);
    for (const {note} of this.members.values()) {
      if (note.state !== 'dead') known.add(note.peerAddress);
      if (note.state === 'live' || note.state === 'leaving') heard++;
    }
    return {heard, known: known.size};
  }

  /** Changes what this host says of itself; gives the note to pass on. */
  updateSelf(change: {state?: MemberState; revision?: number}): MemberNote {
    const sequence = this.own.sequence + 1;
    this.own = {...this.own, ...change, sequence};
    return this.own;
  }

  /** Takes notes from another host; gives those that are news. */
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
   * Gives peer addresses to try besides the watched hosts: those that the
   * list shows and nobody spoke of, and those of dead hosts, as two sides of
   * a partition hold each other for dead. They take turns.
   */
  listReconnectPeers(count: number, now: number): string[] {
    const known = new Set(this.list().map((note) => note.peerAddress));
    const unknown = [...this.listed].filter((address) => !known.has(address));
    const dead = this.list().filter((note) => note.state === 'dead');
    const peers = [...unknown, ...dead.map((note) => note.peerAddress)];
    const first = Math.floor(now / TRY_TURN_MS) * count;
    const turns = Array.from({length: Math.min(count, peers.length)});
    return turns.flatMap((_, at) => peers[(first + at) % peers.length] ?? []);
  }

  /** Sets the hosts from which heartbeats are expected now. */
  setWatched(hostIds: Iterable<string>, now: number): void {
    const heardAt = new Map<string, number>();
    for (const hostId of hostIds) {
      heardAt.set(hostId, this.heardAt.get(hostId) ?? now);
    }
    this.heardAt = heardAt;
  }

  /** Notes a heartbeat from a host; it counts while the host is watched. */
  recordHeartbeat(hostId: string, incarnation: string, now: number): void {
    const member = this.members.get(hostId);
    if (member?.note.incarnation !== incarnation) return;
    if (this.heardAt.has(hostId)) this.heardAt.set(hostId, now);
  }

  /**
   * Notes that the address of a host refused a connection: nothing listens
   * there, which a host that is slow, frozen or cut off cannot bring about.
   * It is suspect at once, and has less time to contradict.
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
   * Takes the host list; it lags, so it only adds and marks as leaving.
   *
   * @param peers The peer addresses that the list shows, with their states.
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

  /** Moves on with time; gives the notes that are news. */
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
    // A new incarnation is given the whole time to be heard.
    if (note.incarnation !== member.note.incarnation) {
      this.heardAt.delete(note.hostId);
    }
    if (note.state !== member.note.state) member.since = now;
    if (note.state !== 'suspect') this.endRefusing(member, note, now);
    member.note = note;
    return note;
  }

  /** A host that lives though its address refuses is not doubted on and on. */
  private endRefusing(member: Member, note: MemberNote, now: number): void {
    const isSame = note.incarnation === member.note.incarnation;
    const contradicts = member.isRefusing && isSame && note.state !== 'dead';
    if (contradicts) member.refusalsFrom = now + this.times.suspectAfterMs;
    member.isRefusing = false;
  }

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
    const inState = now - member.since;
    if (state === 'dead') {
      return inState < forgetAfterMs ? undefined : 'forget';
    }
    if (state === 'suspect') {
      const {deadAfterMs, goneAfterMs} = this.times;
      const limitMs = member.isRefusing ? goneAfterMs : deadAfterMs;
      return inState >= limitMs ? 'dead' : undefined;
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
