/**
 * Records the request contents that crash the endpoints that run them, from
 * this host's own runs and from reports of other hosts. See
 * docs/design/crashing_requests.md.
 */
import type {
  ContentVerdict,
  Crash,
  CrashLedger,
  ContentCrashes,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {formatCrashKey, isCrash} from '../model/crash_row.js';

/** Publishes crashes to other hosts, and stores them. */
export interface CrashPublisher {
  /**
   * Publishes a crash that this host observed to all hosts.
   *
   * @param isUrgent Whether to send it at once rather than batch it with
   *     others.
   */
  publishCrash(crash: Crash, isUrgent: boolean): void;
  /** Publishes to all hosts that a content crashes no endpoints. */
  publishCleared(content: string): void;
  /** Stores crashes so that they outlast the loss of all hosts. */
  saveCrashes(crashes: readonly Crash[]): void;
  /** Deletes the stored crashes of a content. */
  deleteCrashes(content: string): void;
}

/** Dependencies of the records. */
export interface CrashRecordsParts {
  readonly ledger: CrashLedger;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * The crashes of a content are stored once there are this many. A harmless
 * request meets one crash now and then but hardly ever two, so writes to the
 * store are rare. If all hosts are lost at once, one crash per content is lost.
 */
const MIN_STORED_CRASHES = 2;

/**
 * How long other hosts may take to report on a lost endpoint, in ms. Their runs
 * on it are lost at the same moment; a busy host notices and reports it later.
 */
export const REPORT_WAIT_MS = 250;
/** How long they usually take, in ms: a check of the exit and a datagram. */
export const MAX_REPORT_DELAY_MS = 50;

/** How many cleared crashes are remembered; the oldest are evicted first. */
const MAX_CLEARED_CRASHES = 2000;

/** Records the crashes of request contents. */
export class CrashRecords {
  /** Set by the service that connects to the other hosts and the store. */
  publisher: CrashPublisher | undefined;
  /** Contents of which this host observed a crash itself. */
  private readonly observedContents = new Set<string>();
  /**
   * Keys of cleared crashes. A report that is still in transit, or a stored row
   * that is read later, must not restore them.
   */
  private readonly clearedKeys = new Set<string>();

  private readonly listeners = new Set<() => void>();

  constructor(private readonly parts: CrashRecordsParts) {}

  /**
   * Calls a listener whenever a crash is added.
   *
   * @returns A function that ends the watch.
   */
  watch(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Returns the verdict on a content. */
  getVerdict(content: string): ContentVerdict {
    return this.parts.ledger.decide(content);
  }

  /** Whether a content crashed too many endpoints, here or on other hosts. */
  isRefused(content: string): boolean {
    return this.getVerdict(content) === 'refused';
  }

  /** Counts the crashes of a content. */
  countCrashes(content: string): number {
    return this.parts.ledger.countCrashes(content);
  }

  /**
   * Whether any crash counts against a content, or may count: other hosts may
   * still report what else ran on the endpoint.
   */
  hasEvidence(content: string): boolean {
    const isRecent = this.getLastCrashAge(content) < MAX_REPORT_DELAY_MS;
    return isRecent || this.parts.ledger.hasEvidence(content);
  }

  /** Returns the time since the last crash was recorded, in ms. */
  getLastCrashAge(content: string): number {
    const {ledger, clock} = this.parts;
    const crashedAt = ledger.findLastCrashTime(content) ?? -Infinity;
    return clock.getNow() - crashedAt;
  }

  /** Lists the crashes of a content. */
  listCrashes(content: string): Crash[] {
    return this.parts.ledger.listCrashes(content);
  }

  /** Whether any crash is recorded. */
  get hasCrashes(): boolean {
    return this.parts.ledger.size > 0;
  }

  /** Whether an endpoint instance is known to have crashed under a content. */
  hasCrashed(instanceId: string): boolean {
    return this.parts.ledger.hasCrashed(instanceId);
  }

  /** Whether a content with further crashes crashed an endpoint instance. */
  hasSuspectCrashed(instanceId: string): boolean {
    return this.parts.ledger.hasSuspectCrashed(instanceId);
  }

  /** Lists the contents with recorded crashes. */
  listContents(): ContentCrashes[] {
    return this.parts.ledger.listContents();
  }

  /** Records that an endpoint crashed under a run of this host. */
  recordCrash(crash: Crash): void {
    this.observedContents.add(crash.content);
    if (!this.add(crash)) return;
    // The caller may retry at another host as soon as it has its answer.
    const isUrgent = this.countCrashes(crash.content) >= MIN_STORED_CRASHES;
    this.publisher?.publishCrash(crash, isUrgent);
  }

  /** Clears a content that was run to its end. */
  recordCompletion(content: string): void {
    if (this.countCrashes(content) === 0) return;
    this.dropContent(content, 'it was run to its end');
  }

  /** Deletes the crashes of a content on all hosts and in the store. */
  dropContent(content: string, reason: string): void {
    this.parts.log.writeInfo('Cleared the crashes of a content.', {
      content,
      crashes: this.countCrashes(content),
      reason,
    });
    this.drop(content);
    this.publisher?.publishCleared(content);
    this.publisher?.deleteCrashes(content);
  }

  /** Adds crashes that another host reported or the store contains. */
  acceptCrashes(crashes: readonly Crash[]): void {
    for (const crash of crashes) {
      if (isCrash(crash)) this.add(crash);
    }
  }

  /** Drops a crash whose row was deleted from the store. */
  dropCrash(crash: Crash): void {
    this.parts.ledger.dropCrash(crash);
  }

  /** Drops a content that another host cleared. */
  acceptCleared(content: string): void {
    this.drop(content);
  }

  /** Drops contents whose last crash is too long ago. */
  dropExpired(): void {
    const {ledger, clock} = this.parts;
    for (const content of ledger.dropExpired(clock.getNow())) {
      this.observedContents.delete(content);
    }
  }

  private drop(content: string): void {
    for (const crash of this.parts.ledger.listCrashes(content)) {
      this.clearedKeys.add(formatCrashKey(crash));
      const [oldest = ''] = this.clearedKeys;
      if (this.clearedKeys.size > MAX_CLEARED_CRASHES) {
        this.clearedKeys.delete(oldest);
      }
    }
    this.parts.ledger.drop(content);
    this.observedContents.delete(content);
  }

  private add(crash: Crash): boolean {
    const {ledger, clock, log} = this.parts;
    const {content} = crash;
    if (this.clearedKeys.has(formatCrashKey(crash))) return false;
    const before = ledger.decide(content);
    if (!ledger.add(crash, clock.getNow())) return false;
    const verdict = ledger.decide(content);
    if (verdict !== before) {
      log.writeInfo('The verdict on a content changed.', {
        content,
        verdict,
        crashes: ledger.countCrashes(content),
      });
    }
    for (const listener of [...this.listeners]) listener();
    // A host that observed one crash stores all of them, as the hosts that
    // observed the others may be lost by now.
    const isStored = ledger.countCrashes(content) >= MIN_STORED_CRASHES;
    if (isStored && this.observedContents.has(content)) {
      this.publisher?.saveCrashes(ledger.listCrashes(content));
    }
    return true;
  }
}
