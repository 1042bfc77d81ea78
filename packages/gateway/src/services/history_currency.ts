/**
 * Decides whether this host may conclude from its replicas which versions a
 * service had. It may if both were current a moment ago. While the store is
 * away they grow old on all hosts; then it may as long as it reaches all hosts
 * that it knew while they were current, without a break: none of these reads
 * the store, or its updates would arrive here, and nobody can register a new
 * version. A host that is cut off from the store and from other hosts concludes
 * nothing; afterwards it does once the history was confirmed, as versions may
 * have come and gone that its replica of the endpoints never had.
 */
import type {ReplicatedTable} from '../model/table_store.js';
import type {PastDoubt} from '../serving/version_history.js';
import type {PeerState} from './host_tracker.js';

/** Another host, or this one, as far as it is known here. */
export interface ReachedHost {
  readonly name: string;
  readonly state: PeerState;
}

/** Dependencies of the decision. */
export interface HistoryCurrencyParts {
  /** Whether a table was ever read by this process. */
  readonly isLoaded: (table: ReplicatedTable) => boolean;
  /** The time since a table's replica was known to be current, in ms. */
  readonly getAgeMs: (table: ReplicatedTable, now: number) => number;
  /** Lists the hosts that are considered alive. */
  readonly listAlive: () => readonly ReachedHost[];
  /** How long a host is remembered that is no longer reached, in ms. */
  readonly keepMs: number;
}

/**
 * The ages up to which replicas count as current, in ms. All versions that have
 * endpoints are in the replica of the endpoints, so only its age bounds how
 * long a new version may be unknown here; other hosts confirm it each second.
 */
const MAX_AGES_MS = {endpoints: 1500, versions: 45_000} as const;
/** The longest time between two updates in which this host was not paused, in ms. */
const MAX_GAP_MS = 5000;

/** Tracks whether the replicas are evidence of all versions. */
export class HistoryCurrency {
  /** When each host was last reached, by its name. */
  private readonly reachedAt = new Map<string, number>();
  private wasCurrent = false;
  /** Whether the replica of the endpoints was ever current. */
  private hasBeenFresh = false;
  /** Whether it was not current since then, or this host was paused. */
  private isInterrupted = false;
  /** When it was current again after the last interruption. */
  private resumedAt = -Infinity;
  private updatedAt: number | undefined;

  constructor(private readonly parts: HistoryCurrencyParts) {}

  /** Whether both replicas were read by this process. */
  get isLoaded(): boolean {
    const {isLoaded} = this.parts;
    return isLoaded('versions') && isLoaded('endpoints');
  }

  /** Whether the replicas were current a moment ago. */
  isCurrent(now: number): boolean {
    if (!this.isLoaded) return false;
    const {getAgeMs} = this.parts;
    const isFresh = getAgeMs('endpoints', now) <= MAX_AGES_MS.endpoints;
    this.recordFreshness(isFresh, now);
    const ageMs = getAgeMs('versions', now);
    if (now - ageMs < this.resumedAt) return false;
    return isFresh && ageMs <= MAX_AGES_MS.versions;
  }

  /** Whether the replicas are evidence of all versions. */
  isKnown(now: number): boolean {
    return this.findDoubt(now) === undefined;
  }

  /** Finds why the replicas are no such evidence; undefined if they are. */
  findDoubt(now: number): PastDoubt | undefined {
    if (this.isCurrent(now)) return undefined;
    if (!this.isLoaded) return 'tables_unread';
    // After a pause, hosts that cannot be reached still count as alive.
    if (this.hasPaused(now)) return 'host_paused';
    if (!this.wasCurrent) return 'tables_old';
    return this.isReachingAll ? undefined : 'host_missing';
  }

  private get isReachingAll(): boolean {
    const alive = new Set(this.parts.listAlive().map(({name}) => name));
    for (const name of this.reachedAt.keys()) {
      if (!alive.has(name)) return false;
    }
    return true;
  }

  /** Records which hosts are reached; to be called about each second. */
  update(now: number): void {
    if (this.hasPaused(now)) {
      this.wasCurrent = false;
      this.recordFreshness(false, now);
    }
    this.updatedAt = now;
    // A host that was out of reach may have learned what this one has not.
    if (!this.isCurrent(now) && !this.isReachingAll) this.wasCurrent = false;
    for (const {name, state} of this.parts.listAlive()) {
      // A host that leaves takes no new streams.
      if (state === 'leaving') this.reachedAt.delete(name);
      else this.reachedAt.set(name, now);
    }
    if (!this.isCurrent(now)) return;
    this.wasCurrent = true;
    for (const [name, at] of this.reachedAt) {
      if (now - at > this.parts.keepMs) this.reachedAt.delete(name);
    }
  }

  private recordFreshness(isFresh: boolean, now: number): void {
    const isContinuous = isFresh && !this.hasPaused(now);
    if (!isContinuous) this.isInterrupted = this.hasBeenFresh;
    if (this.isInterrupted) this.resumedAt = now;
    if (!isContinuous) return;
    this.isInterrupted = false;
    this.hasBeenFresh = true;
  }

  private hasPaused(now: number): boolean {
    return this.updatedAt !== undefined && now - this.updatedAt > MAX_GAP_MS;
  }
}
