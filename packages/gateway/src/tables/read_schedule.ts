/**
 * When a host reads one table of the store: by its role among the readers, at
 * the pace of that role, and in turns with the other readers.
 */
import {PollStagger, type ReaderRank} from '@irisdock/decisions';
import type {FollowerOptions} from './follower_options.js';
import {isSameRole, type ReaderRole} from './store_update.js';

/** The pace is this many times slower on all readers but the first. */
const STANDBY_PACE_FACTOR = 2;
/** The rank of a host that reads for itself only. */
const SOLE_READER: ReaderRank = {rank: 0, count: 1};

/** The schedule of the reads of one table. */
export class ReadSchedule {
  readonly stagger: PollStagger;
  private role: ReaderRole = 'listener';
  private resumeReading: (() => void) | undefined;

  /** @param isLoading Whether the whole table has to be read. */
  constructor(
    private readonly options: FollowerOptions,
    private readonly isLoading: () => boolean,
  ) {
    this.stagger = new PollStagger(options.waitMs);
  }

  /** Whether this host is one of the readers that poll the store for all. */
  get isReading(): boolean {
    return typeof this.role === 'object';
  }

  /** The least time between two calls while the table keeps changing, in ms. */
  get paceMs(): number {
    const {role, options} = this;
    const isFirst = typeof role !== 'object' || role.rank === 0;
    return isFirst ? options.paceMs : options.paceMs * STANDBY_PACE_FACTOR;
  }

  /** Sets how this host follows the store; returns whether that changed. */
  setRole(role: ReaderRole): boolean {
    if (isSameRole(role, this.role)) return false;
    this.role = role;
    this.stagger.startCycle(0);
    if (this.mustRead) this.resumeReading?.();
    return true;
  }

  /** Returns the wait of the next poll, in ms. */
  takePollWaitMs(now: number): number {
    const rank = typeof this.role === 'object' ? this.role : SOLE_READER;
    return this.stagger.takePollWaitMs(rank, now);
  }

  /** Waits until this host has to read the store. */
  async waitForRead(): Promise<void> {
    if (this.mustRead) return;
    await new Promise<void>((resolve) => {
      this.resumeReading = resolve;
    });
    this.resumeReading = undefined;
  }

  /** Ends a wait. */
  stop(): void {
    this.resumeReading?.();
  }

  /** Whether this host has to read the store. */
  private get mustRead(): boolean {
    return this.role === 'loader' ? this.isLoading() : this.isReading;
  }
}
