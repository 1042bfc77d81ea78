/**
 * The member list of one host: its own record and those of all other hosts.
 * Records are exchanged only when they change, so that the network traffic does
 * not grow with the number of hosts.
 *
 * A host that does not answer probes is suspected. Callers are no longer sent
 * to it, and it is told of the suspicion, so that it can refute it by a newer
 * record. If it does not, it counts as lost after a timeout and is removed from
 * the list after another.
 */
import {
  compareRecords,
  type HostUpdate,
  type HostRecord,
  type OwnHostState,
} from './host_record.js';

/** Whether a host is believed to run. */
export type HostStanding = 'alive' | 'lost' | 'suspected';

/**
 * Another host in the list.
 *
 * @template P The network addresses and the failure domain of a host.
 */
export interface KnownHost<P> {
  readonly record: HostRecord;
  /** Where to reach the host. */
  readonly place: P;
  readonly standing: HostStanding;
}

/** Timeouts of hosts that do not answer. */
export interface HostTimeouts {
  /** From the suspicion until a host counts as lost. */
  readonly lostAfterMs: number;
  /** From the loss until a host is removed from the list. */
  readonly forgetAfterMs: number;
}

/** The effect of an update that was received. */
export type UpdateOutcome =
  /** It was new and has to be forwarded. */
  | 'fresh'
  /** It was already known, or older than what is known. */
  | 'known'
  /** It was about this host, which refuted it by a newer record of itself. */
  | 'refuted'
  /** It lacked the place of a host that is not known here; it was ignored. */
  | 'unknown_place';

/** Updates contain the place up to this record version of an incarnation. */
const MAX_VERSION_WITH_PLACE = 2;

interface Entry<P> extends KnownHost<P> {
  /** When the standing last changed, in ms. */
  readonly since: number;
}

/** The member list of a host. */
export class HostView<P> {
  /** The other hosts, by name. */
  private readonly hosts = new Map<string, Entry<P>>();
  /** The sum of the record hashes of the other hosts that are alive. */
  private hashSum = 0;

  constructor(
    private own: HostRecord,
    private readonly ownPlace: P,
    private readonly timeouts: HostTimeouts,
    /** Returns a hash below 2^32. */
    private readonly hashRecord: (record: HostRecord) => number,
  ) {}

  /** The current record of this host. */
  get ownRecord(): HostRecord {
    return this.own;
  }

  /** Finds another host. */
  find(name: string): KnownHost<P> | undefined {
    return this.hosts.get(name);
  }

  /** Lists all other hosts, whatever their standing. */
  listKnown(): KnownHost<P>[] {
    return [...this.hosts.values()];
  }

  /** Returns the number of other hosts, whatever their standing. */
  countKnown(): number {
    return this.hosts.size;
  }

  /** Lists the other hosts that are believed to be alive. */
  listAlive(): KnownHost<P>[] {
    return this.listKnown().filter(({standing}) => standing === 'alive');
  }

  /**
   * Lists the other hosts that accept callers: those that are alive and ready.
   * If no other host seems alive, this one is more likely cut off than the only
   * one left, so all hosts that were ready when last heard are listed.
   */
  listServing(): KnownHost<P>[] {
    const alive = this.listAlive();
    const candidates = alive.length > 0 ? alive : this.listKnown();
    return candidates.filter(({record}) => record.state === 'ready');
  }

  /** Creates an update with everything known about a host. */
  createUpdate(name: string): HostUpdate<P> | undefined {
    if (name === this.own.name) {
      return {record: this.own, isSuspected: false, place: this.ownPlace};
    }
    const host = this.hosts.get(name);
    if (host === undefined) return undefined;
    const {record, place, standing} = host;
    return {record, isSuspected: standing !== 'alive', place};
  }

  /**
   * Creates an update in few bytes: it contains the place only for the first
   * records of an incarnation, as the other hosts know it from then on.
   */
  createCompactUpdate(name: string): HostUpdate<P> | undefined {
    const update = this.createUpdate(name);
    if (update === undefined) return undefined;
    const isEarly = update.record.version <= MAX_VERSION_WITH_PLACE;
    if (isEarly && !update.isSuspected) return update;
    return {...update, place: undefined};
  }

  /** Creates a newer record of this host; false if nothing has changed. */
  updateOwn(next: OwnHostState): boolean {
    const {state, isStoreAway, isTaskExcluded} = this.own;
    const isSame =
      next.state === state &&
      next.isStoreAway === isStoreAway &&
      next.isTaskExcluded === isTaskExcluded;
    if (isSame) return false;
    this.own = {
      ...this.own,
      state: next.state,
      isStoreAway: next.isStoreAway,
      isTaskExcluded: next.isTaskExcluded,
      version: this.own.version + 1,
    };
    return true;
  }

  /** Applies an update from another host. */
  accept(update: HostUpdate<P>, now: number): UpdateOutcome {
    const {record, isSuspected, place} = update;
    if (record.name === this.own.name) return this.acceptOwn(update);
    const known = this.hosts.get(record.name);
    const order =
      known === undefined ? 1 : compareRecords(record, known.record);
    if (order < 0) return 'known';
    if (order === 0) {
      if (!isSuspected || known?.standing !== 'alive') return 'known';
      this.put({...known, standing: 'suspected', since: now});
      return 'fresh';
    }
    const nextPlace = place ?? this.findPlace(record);
    if (nextPlace === undefined) return 'unknown_place';
    const standing = isSuspected ? 'suspected' : 'alive';
    this.put({record, place: nextPlace, standing, since: now});
    return 'fresh';
  }

  /**
   * Records that a host sent a message itself; true if it was not believed to
   * be alive. A message is proof whatever other hosts suspect, but only of the
   * incarnation that sent it: the record known here may be of an earlier one.
   */
  markAlive({name, incarnation}: HostRecord, now: number): boolean {
    const known = this.hosts.get(name);
    if (known === undefined || known.standing === 'alive') return false;
    if (known.record.incarnation !== incarnation) return false;
    this.put({...known, standing: 'alive', since: now});
    return true;
  }

  /** Records that a host did not answer; true if it was believed alive. */
  markSuspected(name: string, now: number): boolean {
    const known = this.hosts.get(name);
    if (known?.standing !== 'alive') return false;
    this.put({...known, standing: 'suspected', since: now});
    return true;
  }

  /**
   * Marks hosts as lost that were suspected for too long, and removes those
   * that were lost for too long; returns the names of the removed ones.
   */
  dropLost(now: number): string[] {
    const dropped: string[] = [];
    const {lostAfterMs, forgetAfterMs} = this.timeouts;
    for (const [name, host] of this.hosts) {
      const silentMs = now - host.since;
      if (host.standing === 'suspected' && silentMs > lostAfterMs) {
        this.put({...host, standing: 'lost', since: now});
      }
      if (host.standing !== 'lost' || silentMs <= forgetAfterMs) continue;
      this.hosts.delete(name);
      dropped.push(name);
    }
    return dropped;
  }

  /**
   * A hash of the records of all hosts that are alive, this one included. Two
   * hosts with different hashes know different records.
   */
  get recordsHash(): number {
    return (this.hashSum + this.hashRecord(this.own)) >>> 0;
  }

  private put(entry: Entry<P>): void {
    const {name} = entry.record;
    this.hashSum +=
      this.hashAlive(entry) - this.hashAlive(this.hosts.get(name));
    this.hosts.set(name, entry);
  }

  private hashAlive(entry: Entry<P> | undefined): number {
    return entry?.standing === 'alive' ? this.hashRecord(entry.record) : 0;
  }

  /** Finds the place of a host, if it is known for the same incarnation. */
  private findPlace(record: HostRecord): P | undefined {
    const known = this.hosts.get(record.name);
    return known?.record.incarnation === record.incarnation
      ? known.place
      : undefined;
  }

  /**
   * Refutes an update about this host by a newer record: either others suspect
   * it, or they know a record with a higher incarnation, as the wall clock may
   * have been set back between two starts.
   */
  private acceptOwn({record, isSuspected}: HostUpdate<P>): UpdateOutcome {
    const order = compareRecords(record, this.own);
    if (order < 0 || (order === 0 && !isSuspected)) return 'known';
    const isOtherIncarnation = record.incarnation !== this.own.incarnation;
    this.own = {
      ...this.own,
      incarnation: record.incarnation + (isOtherIncarnation ? 1 : 0),
      version: (isOtherIncarnation ? 0 : record.version) + 1,
    };
    return 'refuted';
  }
}
