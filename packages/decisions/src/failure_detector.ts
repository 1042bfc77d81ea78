/**
 * How hosts keep track of each other: what a host sends in each beat, and what
 * it makes of what others send. No clock and no socket: the caller says what
 * time it is and carries the messages.
 *
 * Each beat a host asks one or a few others whether they answer
 * (probe_schedule.ts); what changed of hosts rides along (change_queue.ts) and,
 * while it is fresh, goes to a few hosts at once. So the messages and bytes of
 * a host at rest do not grow with the number of hosts, and news reaches all
 * within some round trips. docs/design/membership.md has the figures.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import {GossipQueue} from './gossip_queue.js';
import {
  compareRecords,
  type HostUpdate,
  type HostRecord,
} from './host_record.js';
import {
  HostView,
  type UpdateOutcome,
  type HostTimeouts,
  type KnownHost,
} from './host_view.js';
import {ProbeSchedule} from './probe_schedule.js';

/** What a message asks for. */
export type GossipMessageKind = 'answer' | 'notice' | 'probe' | 'relay';

/** What hosts send each other to keep track. */
export interface GossipMessage<P> {
  readonly kind: GossipMessageKind;
  readonly sender: HostRecord;
  /** Where the sender is reached; undefined where it is known for sure. */
  readonly place: P | undefined;
  /** Who wants to know, when one host asks for another. */
  readonly asker: string | undefined;
  /** Whom a relay is to ask; who answered, in an answer passed on. */
  readonly target: string | undefined;
  readonly updates: readonly HostUpdate<P>[];
  /** Alike only where the same records are known. */
  readonly recordsHash: number;
}

/** A message and the host that it goes to. */
export interface OutgoingGossip<P> {
  readonly to: KnownHost<P>;
  readonly message: GossipMessage<P>;
}

/** The other hosts up to which several are asked in a beat. */
const FEW_HOSTS = 16;
/** Hosts asked in a beat, where hosts are few and where they are many. */
const PROBES = {few: 3, many: 1} as const;
/**
 * Hosts asked in a beat after one in which a host was silent: many may have
 * been lost at once. When half of 195 hosts are lost, the rest know all of
 * them after 1.8 to 2.0 s; with one at a time after 3.2 s, 3.5 s and not
 * within 9 s (simulation, three seeds).
 */
const PROBES_AFTER_SILENCE = 6;
/** Hosts that are asked to ask for this one. */
const RELAYS = 3;
/** Hosts that a fresh change is told at once. */
const FRESH_TO = 3;
/** Room for changes in one message, in bytes; it stays below 1,300 in all. */
const CHANGES_BYTES = 800;
/** What a change takes at most with and without a place, in bytes. */
const CHANGE_BYTES = {placed: 130, short: 40} as const;
/** Beats without any message after which silence of others says nothing. */
const TRUST_BEATS = 4;
/** A beat so many times later than planned was held up with all else here. */
const LATE_BEATS = 2;

/** Keeps track of the other hosts. */
export class FailureDetector<P> {
  readonly view: HostView<P>;
  private readonly queue = new GossipQueue();
  private readonly schedule: ProbeSchedule;
  private beatAt = -Infinity;
  private receivedAt = -Infinity;
  private wasSilent = false;
  private hasFresh = false;
  /** Hosts that this one has found silent since they were last taken. */
  private silent: string[] = [];

  constructor(
    own: HostRecord,
    private readonly ownPlace: P,
    times: HostTimeouts,
    /** The time between two beats, in ms. */
    private readonly beatMs: number,
    private readonly random: Random,
    hashRecord: (record: HostRecord) => number,
  ) {
    this.view = new HostView(own, ownPlace, times, hashRecord);
    this.schedule = new ProbeSchedule(random);
    // Others need to know of a host once it takes callers; until then its own
    // questions tell of it.
    if (own.state !== 'starting') this.addFresh(own.name);
  }

  /** Whether there is news that should not wait for the next beat. */
  get hasUrgentUpdates(): boolean {
    return this.hasFresh;
  }

  /** Whether another host was heard a moment ago. */
  hasHeardAny(now: number): boolean {
    return now - this.receivedAt <= TRUST_BEATS * this.beatMs;
  }

  /** Says what this host tells of itself. */
  updateOwn(told: Pick<HostRecord, 'isStoreAway' | 'state'>): void {
    if (this.view.updateOwn(told)) this.addFresh(this.view.ownRecord.name);
  }

  /**
   * Takes the whole list of another host. A host that knew nobody before has
   * nothing to pass on: the others know all that it learns so.
   */
  acceptHostList(changes: readonly HostUpdate<P>[], now: number): void {
    const isJoining = this.view.countKnown() === 0;
    for (const change of changes) {
      const outcome = this.applyChange(change, now);
      if (isJoining && outcome === 'fresh') this.queue.drop(change.record.name);
    }
  }

  /** Gives the hosts that this one has found silent since the last call. */
  takeNewlySuspected(): string[] {
    const {silent} = this;
    this.silent = [];
    return silent;
  }

  /** Takes the steps of one beat. */
  startBeat(now: number): OutgoingGossip<P>[] {
    const isPunctual = now - this.beatAt < LATE_BEATS * this.beatMs;
    this.beatAt = now;
    const isTrusted = isPunctual && this.hasHeardAny(now);
    const alive = this.view.listAlive();
    const byName = new Map(alive.map((host) => [host.record.name, host]));
    const count = this.countProbes(alive.length);
    const plan = this.schedule.planRound(byName, isTrusted, count);
    const sent: OutgoingGossip<P>[] = [];
    for (const name of plan.unresponsive) this.markSilent(name, now);
    for (const name of plan.indirect) sent.push(...this.createRelays(name));
    for (const name of plan.probed) sent.push(...this.createProbe(name));
    this.wasSilent = plan.indirect.length + plan.unresponsive.length > 0;
    sent.push(...this.createRetry());
    return sent;
  }

  /** Tells a few hosts what is fresh. */
  createNotices(): OutgoingGossip<P>[] {
    this.hasFresh = false;
    const targets = getShuffled(this.view.listAlive(), this.random);
    return targets
      .slice(0, FRESH_TO)
      .map((to) => this.createMessage(to, 'notice', {}));
  }

  /** Takes a message; gives what is sent in return. */
  accept(message: GossipMessage<P>, now: number): OutgoingGossip<P>[] {
    const {sender, place, asker, target} = message;
    this.receivedAt = now;
    // Before its own word lifts a suspicion: the sender has to be told of it.
    const correction = this.findCorrection(sender);
    this.applyChange({record: sender, isSuspected: false, place}, now);
    for (const told of message.updates) this.applyChange(told, now);
    this.view.markAlive(sender, now);
    this.schedule.markHeard(sender.name);
    const from = this.view.find(sender.name);
    if (from === undefined) return [];
    if (message.kind === 'probe') {
      return [this.createMessage(from, 'answer', {asker}, correction)];
    }
    if (message.kind === 'relay' && target !== undefined) {
      return this.createProbe(target, sender.name);
    }
    if (message.kind === 'answer') return this.acceptAnswer(message);
    return correction === undefined
      ? []
      : [this.createMessage(from, 'notice', {}, correction)];
  }

  private acceptAnswer(message: GossipMessage<P>): OutgoingGossip<P>[] {
    const {asker, target, sender} = message;
    if (target !== undefined) this.schedule.markHeard(target);
    if (asker === undefined || asker === this.view.ownRecord.name) return [];
    const to = this.view.find(asker);
    if (to === undefined) return [];
    return [this.createMessage(to, 'answer', {asker, target: sender.name})];
  }

  private countProbes(others: number): number {
    if (this.wasSilent) return PROBES_AFTER_SILENCE;
    return others <= FEW_HOSTS ? PROBES.few : PROBES.many;
  }

  /**
   * Gives what a sender has to be told of itself, so that it sets all right by
   * a new record: that it is suspected, or that a newer record of it is known,
   * as when the time of day has gone back before its start.
   */
  private findCorrection(sender: HostRecord): HostUpdate<P> | undefined {
    const known = this.view.find(sender.name);
    if (known === undefined) return undefined;
    const isSuspected = known.standing !== 'alive';
    const isOlder = compareRecords(sender, known.record) < 0;
    if (!isSuspected && !isOlder) return undefined;
    return {record: known.record, isSuspected, place: undefined};
  }

  private applyChange(change: HostUpdate<P>, now: number): UpdateOutcome {
    const outcome = this.view.accept(change, now);
    const {name} = change.record;
    if (outcome === 'fresh') this.addFresh(name);
    if (outcome === 'refuted') this.addFresh(this.view.ownRecord.name);
    return outcome;
  }

  private addFresh(name: string): void {
    this.queue.add(name);
    this.hasFresh = true;
  }

  private markSilent(name: string, now: number): void {
    if (!this.view.markSuspected(name, now)) return;
    this.silent.push(name);
    this.addFresh(name);
  }

  private createProbe(name: string, asker?: string): OutgoingGossip<P>[] {
    const to = this.view.find(name);
    return to === undefined ? [] : [this.createMessage(to, 'probe', {asker})];
  }

  private createRelays(target: string): OutgoingGossip<P>[] {
    const others = this.view
      .listAlive()
      .filter(({record}) => record.name !== target);
    return getShuffled(others, this.random)
      .slice(0, RELAYS)
      .map((to) => this.createMessage(to, 'relay', {target}));
  }

  /** Asks one host that is not believed to be alive. */
  private createRetry(): OutgoingGossip<P>[] {
    const doubted = this.view
      .listKnown()
      .filter(({standing}) => standing !== 'alive');
    const [to] = getShuffled(doubted, this.random);
    if (to === undefined) return [];
    const correction = {
      record: to.record,
      isSuspected: true,
      place: undefined,
    };
    return [this.createMessage(to, 'probe', {}, correction)];
  }

  /** @param correction What the receiver has to be told of itself. */
  private createMessage(
    to: KnownHost<P>,
    kind: GossipMessageKind,
    about: Partial<Pick<GossipMessage<P>, 'asker' | 'target'>>,
    correction?: HostUpdate<P>,
  ): OutgoingGossip<P> {
    const changes = this.takeChanges();
    if (correction !== undefined) changes.push(correction);
    const message: GossipMessage<P> = {
      kind,
      sender: this.view.ownRecord,
      place: kind === 'probe' ? this.ownPlace : undefined,
      asker: about.asker,
      target: about.target,
      updates: changes,
      recordsHash: this.view.recordsHash,
    };
    return {to, message};
  }

  private takeChanges(): HostUpdate<P>[] {
    const hostCount = this.view.countKnown() + 1;
    const names = this.queue.take(CHANGES_BYTES, hostCount, (name) =>
      this.view.createCompactUpdate(name)?.place === undefined
        ? CHANGE_BYTES.short
        : CHANGE_BYTES.placed,
    );
    const changes = names.map((name) => this.view.createCompactUpdate(name));
    return changes.filter((change) => change !== undefined);
  }
}
