/**
 * The other hosts as one host knows them. Every host has a record of every
 * other; records spread from host to host only when they change, so that what
 * it costs to keep them does not grow with the number of hosts.
 *
 * A host that does not answer is suspected: callers are not sent there any
 * more, and it is told, so that it can prove the suspicion wrong by a new
 * record. After a while without one it counts as lost, and is forgotten later.
 */
import {
  compareRecords,
  type HostUpdate,
  type HostRecord,
} from './host_record.js';

/** How a host is believed to be. */
export type HostStanding = 'alive' | 'lost' | 'suspected';

/** One host. */
export interface KnownHost<P> {
  readonly record: HostRecord;
  readonly place: P;
  readonly standing: HostStanding;
}

/** When silence counts, in ms. */
export interface HostTimeouts {
  /** From the suspicion until a host counts as lost. */
  readonly lostAfterMs: number;
  /** From the loss until a host is forgotten. */
  readonly forgetAfterMs: number;
}

/** What became of a change that was told. */
export type UpdateOutcome =
  /** It is news here and is passed on. */
  | 'fresh'
  /** It is known, or older than what is known. */
  | 'known'
  /** It is about this host, which made a new record of itself. */
  | 'refuted'
  /** It is about a host whose place is not known here. */
  | 'placeless';

/** Records of a life up to this version are told with the place. */
const PLACE_VERSIONS = 2;

interface Entry<P> extends KnownHost<P> {
  /** Since when the standing holds. */
  readonly since: number;
}

/** The other hosts, and the own record. */
export class HostView<P> {
  private readonly hosts = new Map<string, Entry<P>>();
  /** The sum of the hashes of the other hosts that are alive. */
  private hashSum = 0;

  constructor(
    private own: HostRecord,
    private readonly ownPlace: P,
    private readonly times: HostTimeouts,
    /** Gives a number below 2^32 for a record. */
    private readonly hashRecord: (record: HostRecord) => number,
  ) {}

  /** The record that this host tells of itself. */
  get ownRecord(): HostRecord {
    return this.own;
  }

  /** Finds another host. */
  find(name: string): KnownHost<P> | undefined {
    return this.hosts.get(name);
  }

  /** Lists all other hosts that are not forgotten. */
  listKnown(): KnownHost<P>[] {
    return [...this.hosts.values()];
  }

  /** Gives the number of other hosts that are not forgotten. */
  countKnown(): number {
    return this.hosts.size;
  }

  /** Lists the other hosts that are believed to be alive. */
  listAlive(): KnownHost<P>[] {
    return this.listKnown().filter(({standing}) => standing === 'alive');
  }

  /**
   * Lists the other hosts that take callers: those that are alive. When none
   * is, this host is more likely cut off than the last one, and those count
   * that took callers when they were last heard.
   */
  listServing(): KnownHost<P>[] {
    const alive = this.listAlive();
    const pool = alive.length > 0 ? alive : this.listKnown();
    return pool.filter(({record}) => record.state === 'ready');
  }

  /** Gives the change that tells all of a host as it is known here. */
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
   * Gives the change in few bytes: the place only with the first records of a
   * life, as others know it from then on.
   */
  createCompactUpdate(name: string): HostUpdate<P> | undefined {
    const change = this.createUpdate(name);
    if (change === undefined) return undefined;
    const isEarly = change.record.version <= PLACE_VERSIONS;
    if (isEarly && !change.isSuspected) return change;
    return {...change, place: undefined};
  }

  /** Makes a new record of this host; false when it says nothing new. */
  updateOwn(told: Pick<HostRecord, 'isStoreAway' | 'state'>): boolean {
    const {state, isStoreAway} = this.own;
    if (told.state === state && told.isStoreAway === isStoreAway) return false;
    this.own = {...this.own, ...told, version: this.own.version + 1};
    return true;
  }

  /** Takes what another host told. */
  accept(change: HostUpdate<P>, now: number): UpdateOutcome {
    const {record, isSuspected, place} = change;
    if (record.name === this.own.name) return this.acceptOwn(change);
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
    if (nextPlace === undefined) return 'placeless';
    const standing = isSuspected ? 'suspected' : 'alive';
    this.put({record, place: nextPlace, standing, since: now});
    return 'fresh';
  }

  /**
   * Takes it that a host sent something itself; true when it was not believed
   * to be alive. Its own word is proof, whatever others suspect, but says
   * nothing of an earlier life, whose record may still be the one known.
   */
  markAlive({name, incarnation}: HostRecord, now: number): boolean {
    const known = this.hosts.get(name);
    if (known === undefined || known.standing === 'alive') return false;
    if (known.record.incarnation !== incarnation) return false;
    this.put({...known, standing: 'alive', since: now});
    return true;
  }

  /** Takes it that a host did not answer; true when that is news. */
  markSuspected(name: string, now: number): boolean {
    const known = this.hosts.get(name);
    if (known?.standing !== 'alive') return false;
    this.put({...known, standing: 'suspected', since: now});
    return true;
  }

  /** Takes out who was suspected for long; gives the names. */
  dropLost(now: number): string[] {
    const dropped: string[] = [];
    const {lostAfterMs, forgetAfterMs} = this.times;
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
   * Gives a number that two hosts have in common only when they know the same
   * records of the hosts that are alive, themselves included.
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

  /** The place of the same life of a host, when it is known. */
  private findPlace(record: HostRecord): P | undefined {
    const known = this.hosts.get(record.name);
    return known?.record.incarnation === record.incarnation
      ? known.place
      : undefined;
  }

  /**
   * Others suspect this host, or know a record of it that it did not make in
   * this life, as the time of day may have gone back: a newer record of its
   * own sets them right.
   */
  private acceptOwn({record, isSuspected}: HostUpdate<P>): UpdateOutcome {
    const order = compareRecords(record, this.own);
    if (order < 0 || (order === 0 && !isSuspected)) return 'known';
    const isOtherLife = record.incarnation !== this.own.incarnation;
    this.own = {
      ...this.own,
      incarnation: record.incarnation + (isOtherLife ? 1 : 0),
      version: (isOtherLife ? 0 : record.version) + 1,
    };
    return 'refuted';
  }
}
