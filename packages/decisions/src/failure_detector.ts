/**
 * Failure detection and gossip among hosts, in the manner of SWIM: what a host
 * sends in each beat (protocol period), and how it handles received messages.
 * Without clock and socket: the caller passes the time and carries messages.
 *
 * In each beat a host probes one or a few others (`probe_schedule.ts`). Updates
 * about hosts are piggybacked on these messages (`gossip_queue.ts`), and new
 * ones are also sent to a few hosts at once. The traffic of a host at rest
 * therefore does not grow with the number of hosts, and updates reach all hosts
 * within some round trips. docs/design/membership.md has the figures.
 */
import {getShuffled, type Random} from '@irisdock/kernel';
import {GossipQueue} from './gossip_queue.js';
import {
  compareRecords,
  type HostUpdate,
  type HostRecord,
  type OwnHostState,
} from './host_record.js';
import {
  HostView,
  type UpdateOutcome,
  type HostTimeouts,
  type KnownHost,
} from './host_view.js';
import {ProbeSchedule} from './probe_schedule.js';

/**
 * The purpose of a message: to probe the receiver, to answer a probe, to have
 * the receiver probe another host (relay), or to spread updates only (notice).
 */
export type GossipMessageKind = 'answer' | 'notice' | 'probe' | 'relay';

/**
 * A message between hosts.
 *
 * @template P The network addresses and the failure domain of a host.
 */
export interface GossipMessage<P> {
  readonly kind: GossipMessageKind;
  readonly sender: HostRecord;
  /** Where to reach the sender; undefined if the receiver knows it. */
  readonly place: P | undefined;
  /** The host that requested the probe, if a relay probes on its behalf. */
  readonly asker: string | undefined;
  /** In a relay, the host to probe; in a forwarded answer, who answered. */
  readonly target: string | undefined;
  readonly updates: readonly HostUpdate<P>[];
  /** Differs between hosts that know different records. */
  readonly recordsHash: number;
}

/** A message and its receiver. */
export interface OutgoingGossip<P> {
  readonly to: KnownHost<P>;
  readonly message: GossipMessage<P>;
}

/** Up to this many other hosts, several are probed in a beat. */
const MAX_FEW_HOSTS = 16;
/** Hosts probed in a beat, for few and for many hosts. */
const PROBES_PER_BEAT = {few: 3, many: 1} as const;
/**
 * Hosts probed in a beat after one in which a host did not answer, as many may
 * have failed at once. If half of 195 hosts fail, the others have detected all
 * of them after 1.8 to 2.0 s; with one probe a beat it takes 3.2 s, 3.5 s, or
 * more than 9 s (simulated with three seeds).
 */
const PROBES_AFTER_SILENCE = 6;
/** Hosts that are asked to probe one that did not answer. */
const RELAYS_PER_PROBE = 3;
/** Hosts to which new updates are sent at once. */
const NOTICE_TARGETS = 3;
/**
 * Where there are several regions, one round of notices in so many goes to a
 * host of another region as well; the others stay within the region.
 */
const ROUNDS_PER_FAR_NOTICE = 4;
/**
 * Space for updates in a message, in bytes; a whole message stays below 1,300
 * bytes.
 */
const MAX_UPDATES_BYTES = 800;
/** The size of an update with and without a place, in bytes; upper bounds. */
const UPDATE_BYTES = {withPlace: 130, withoutPlace: 40} as const;
/**
 * If no message arrived for this many beats, this host may itself be cut off,
 * and missing answers of others are no evidence.
 */
const MAX_SILENT_BEATS = 4;
/**
 * If a beat starts this many periods or more after the one before, this
 * process was stalled, and missing answers of others are no evidence.
 */
const LATE_BEAT_FACTOR = 2;

/** Detects failed hosts and spreads updates about hosts. */
export class FailureDetector<P> {
  readonly view: HostView<P>;
  private readonly queue = new GossipQueue();
  private readonly schedule: ProbeSchedule;
  /** When the last beat started, in ms. */
  private beatAt = -Infinity;
  /** When the last message arrived, in ms. */
  private receivedAt = -Infinity;
  /** Whether a host did not answer in the last beat. */
  private hadSilentHost = false;
  /** Whether new updates have not been sent in notices yet. */
  private isNoticePending = false;
  /** Hosts suspected by this one since the last `takeNewlySuspected`. */
  private newlySuspected: string[] = [];

  constructor(
    own: HostRecord,
    private readonly ownPlace: P,
    timeouts: HostTimeouts,
    /** The time between two beats, in ms. */
    private readonly beatMs: number,
    private readonly random: Random,
    hashRecord: (record: HostRecord) => number,
    /** Whether a place belongs to the region of this host. */
    private readonly isNear: (place: P) => boolean = () => true,
  ) {
    this.view = new HostView(own, ownPlace, timeouts, hashRecord);
    this.schedule = new ProbeSchedule(random, (name) => {
      const host = this.view.find(name);
      return host === undefined || isNear(host.place);
    });
    // A starting host is announced by its own probes. The others only need to
    // hear of it at once when it accepts callers.
    if (own.state !== 'starting') this.addUpdate(own.name);
  }

  /** Whether there are new updates that should not wait for the next beat. */
  get hasUrgentUpdates(): boolean {
    return this.isNoticePending;
  }

  /** Whether a message of any other host arrived recently. */
  hasHeardAny(now: number): boolean {
    return now - this.receivedAt <= MAX_SILENT_BEATS * this.beatMs;
  }

  /** Sets the state that this host publishes of itself. */
  updateOwn(next: OwnHostState): void {
    if (this.view.updateOwn(next)) this.addUpdate(this.view.ownRecord.name);
  }

  /**
   * Applies the whole member list of another host. If this host knew no others
   * before, it forwards nothing of it: the other hosts know all of it already.
   */
  acceptHostList(updates: readonly HostUpdate<P>[], now: number): void {
    const isJoining = this.view.countKnown() === 0;
    for (const update of updates) {
      const outcome = this.applyUpdate(update, now);
      if (isJoining && outcome === 'fresh') this.queue.drop(update.record.name);
    }
  }

  /** Returns the hosts that this one has suspected since the last call. */
  takeNewlySuspected(): string[] {
    const {newlySuspected} = this;
    this.newlySuspected = [];
    return newlySuspected;
  }

  /** Runs one beat; returns the messages to send. */
  startBeat(now: number): OutgoingGossip<P>[] {
    const isPunctual = now - this.beatAt < LATE_BEAT_FACTOR * this.beatMs;
    this.beatAt = now;
    const isTrusted = isPunctual && this.hasHeardAny(now);
    const alive = this.view.listAlive();
    const byName = new Map(alive.map((host) => [host.record.name, host]));
    const count = this.countProbes(alive.length);
    const plan = this.schedule.planRound(byName, isTrusted, count);
    const outgoing: OutgoingGossip<P>[] = [];
    for (const name of plan.unresponsive) this.markSuspected(name, now);
    for (const name of plan.indirect) outgoing.push(...this.createRelays(name));
    for (const name of plan.probed) outgoing.push(...this.createProbe(name));
    this.hadSilentHost = plan.indirect.length + plan.unresponsive.length > 0;
    outgoing.push(...this.createRetry());
    return outgoing;
  }

  /** Creates messages that spread new updates to a few hosts at once. */
  createNotices(): OutgoingGossip<P>[] {
    this.isNoticePending = false;
    return this.chooseNoticeTargets().map((to) =>
      this.createMessage(to, 'notice', {}),
    );
  }

  private chooseNoticeTargets(): KnownHost<P>[] {
    const targets = getShuffled(this.view.listAlive(), this.random);
    const near = targets.filter(({place}) => this.isNear(place));
    const [far] = targets.filter(({place}) => !this.isNear(place));
    if (far === undefined) return targets.slice(0, NOTICE_TARGETS);
    const isFarNotified =
      near.length === 0 || this.random.getInt(ROUNDS_PER_FAR_NOTICE) === 0;
    if (!isFarNotified) return near.slice(0, NOTICE_TARGETS);
    return [...near.slice(0, NOTICE_TARGETS - 1), far];
  }

  /** Handles a message; returns the messages to send in response. */
  accept(message: GossipMessage<P>, now: number): OutgoingGossip<P>[] {
    const {sender, place, asker, target} = message;
    this.receivedAt = now;
    // Found before the message lifts a suspicion: the sender must still be told
    // of it.
    const correction = this.findCorrection(sender);
    this.applyUpdate({record: sender, isSuspected: false, place}, now);
    for (const update of message.updates) this.applyUpdate(update, now);
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

  /** Handles the answer to a probe; forwards it if another host asked. */
  private acceptAnswer(message: GossipMessage<P>): OutgoingGossip<P>[] {
    const {asker, target, sender} = message;
    if (target !== undefined) this.schedule.markHeard(target);
    if (asker === undefined || asker === this.view.ownRecord.name) return [];
    const to = this.view.find(asker);
    if (to === undefined) return [];
    return [this.createMessage(to, 'answer', {asker, target: sender.name})];
  }

  private countProbes(otherHosts: number): number {
    if (this.hadSilentHost) return PROBES_AFTER_SILENCE;
    return otherHosts <= MAX_FEW_HOSTS
      ? PROBES_PER_BEAT.few
      : PROBES_PER_BEAT.many;
  }

  /**
   * Finds what a sender has to be told about itself, so that it publishes a
   * newer record: that it is suspected, or that a newer record of it is known
   * here, as after a start with a wall clock that was set back.
   */
  private findCorrection(sender: HostRecord): HostUpdate<P> | undefined {
    const known = this.view.find(sender.name);
    if (known === undefined) return undefined;
    const isSuspected = known.standing !== 'alive';
    const isOlder = compareRecords(sender, known.record) < 0;
    if (!isSuspected && !isOlder) return undefined;
    return {record: known.record, isSuspected, place: undefined};
  }

  private applyUpdate(update: HostUpdate<P>, now: number): UpdateOutcome {
    const outcome = this.view.accept(update, now);
    const {name} = update.record;
    if (outcome === 'fresh') this.addUpdate(name);
    if (outcome === 'refuted') this.addUpdate(this.view.ownRecord.name);
    return outcome;
  }

  private addUpdate(name: string): void {
    this.queue.add(name);
    this.isNoticePending = true;
  }

  private markSuspected(name: string, now: number): void {
    if (!this.view.markSuspected(name, now)) return;
    this.newlySuspected.push(name);
    this.addUpdate(name);
  }

  private createProbe(name: string, asker?: string): OutgoingGossip<P>[] {
    const to = this.view.find(name);
    return to === undefined ? [] : [this.createMessage(to, 'probe', {asker})];
  }

  private createRelays(target: string): OutgoingGossip<P>[] {
    const others = this.view
      .listAlive()
      .filter(({record}) => record.name !== target);
    const near = others.filter(({place}) => this.isNear(place));
    const host = this.view.find(target);
    const isNearTarget = host !== undefined && this.isNear(host.place);
    const hasNearRelays = isNearTarget && near.length >= RELAYS_PER_PROBE;
    return getShuffled(hasNearRelays ? near : others, this.random)
      .slice(0, RELAYS_PER_PROBE)
      .map((to) => this.createMessage(to, 'relay', {target}));
  }

  /** Probes one host that is not believed to be alive. */
  private createRetry(): OutgoingGossip<P>[] {
    const notAlive = this.view
      .listKnown()
      .filter(({standing}) => standing !== 'alive');
    const [to] = getShuffled(notAlive, this.random);
    if (to === undefined) return [];
    const correction = {
      record: to.record,
      isSuspected: true,
      place: undefined,
    };
    return [this.createMessage(to, 'probe', {}, correction)];
  }

  /** @param correction What the receiver has to be told about itself. */
  private createMessage(
    to: KnownHost<P>,
    kind: GossipMessageKind,
    about: Partial<Pick<GossipMessage<P>, 'asker' | 'target'>>,
    correction?: HostUpdate<P>,
  ): OutgoingGossip<P> {
    const updates = this.takeUpdates();
    if (correction !== undefined) updates.push(correction);
    const message: GossipMessage<P> = {
      kind,
      sender: this.view.ownRecord,
      place: kind === 'probe' ? this.ownPlace : undefined,
      asker: about.asker,
      target: about.target,
      updates,
      recordsHash: this.view.recordsHash,
    };
    return {to, message};
  }

  private takeUpdates(): HostUpdate<P>[] {
    const hostCount = this.view.countKnown() + 1;
    const names = this.queue.take(MAX_UPDATES_BYTES, hostCount, (name) =>
      this.view.createCompactUpdate(name)?.place === undefined
        ? UPDATE_BYTES.withoutPlace
        : UPDATE_BYTES.withPlace,
    );
    const updates = names.map((name) => this.view.createCompactUpdate(name));
    return updates.filter((update) => update !== undefined);
  }
}
