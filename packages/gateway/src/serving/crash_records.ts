/**
 * What this host knows of contents that end the endpoints which run them, by its
 * own runs and by what other hosts tell. docs/design/crashing_requests.md.
 */
import type {
  ContentVerdict,
  Crash,
  CrashLedger,
  ContentCrashes,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import {formatCrashKey, isCrash} from '../model/crash_row.js';

/** Tells other hosts, and keeps what must last. */
export interface CrashPublisher {
  /**
   * Tells all hosts of a crash that this host saw.
   *
   * @param isUrgent Whether it is not to be gathered with others.
   */
  publishCrash(crash: Crash, isUrgent: boolean): void;
  /** Tells all hosts that a content ends nothing. */
  publishCleared(content: string): void;
  /** Keeps crashes where they last when all hosts are lost. */
  saveCrashes(crashes: readonly Crash[]): void;
  /** Forgets what was kept of a content. */
  deleteCrashes(content: string): void;
}

/** What the records work with. */
export interface CrashRecordsParts {
  readonly ledger: CrashLedger;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * From so many crashes on they are kept in the store. A sound request is hit by
 * one now and then, and by two hardly ever, so that calls to the store are rare;
 * what is lost with all hosts at once is one crash of a content.
 */
const SAVED_FROM = 2;

/** Forgotten crashes that are remembered as such; the oldest give way. */
const MAX_FORGOTTEN = 2000;

/** The records. */
export class CrashRecords {
  /** Set by the service that reaches the other hosts and the store. */
  publisher: CrashPublisher | undefined;
  /** Contents of which this host saw a crash itself. */
  private readonly seenHere = new Set<string>();
  /**
   * Crashes that were forgotten, by their keys: word of them that is still under
   * way, or a row that is read later, must not bring them back.
   */
  private readonly forgotten = new Set<string>();

  constructor(private readonly parts: CrashRecordsParts) {}

  /** Says what is done with a content. */
  getVerdict(content: string): ContentVerdict {
    return this.parts.ledger.decide(content);
  }

  /** Whether a content ended too many endpoints, here or elsewhere. */
  isRefused(content: string): boolean {
    return this.getVerdict(content) === 'refused';
  }

  /** Gives the number of crashes of a content. */
  countCrashes(content: string): number {
    return this.parts.ledger.countCrashes(content);
  }

  /** Lists the crashes of a content. */
  listCrashes(content: string): Crash[] {
    return this.parts.ledger.listCrashes(content);
  }

  /** Whether any crash is remembered. */
  get hasCrashes(): boolean {
    return this.parts.ledger.size > 0;
  }

  /** Whether a start of an endpoint is known to have ended under a content. */
  hasCrashed(instanceId: string): boolean {
    return this.parts.ledger.hasCrashed(instanceId);
  }

  /** Lists what is remembered. */
  listContents(): ContentCrashes[] {
    return this.parts.ledger.listContents();
  }

  /** Takes it that an endpoint ended under a run of this host. */
  recordCrash(crash: Crash): void {
    this.seenHere.add(crash.content);
    if (!this.add(crash)) return;
    // The caller may come to another host as soon as it has its answer.
    const isUrgent = this.countCrashes(crash.content) >= SAVED_FROM;
    this.publisher?.publishCrash(crash, isUrgent);
  }

  /** Takes it that a content was run to its end. */
  recordCompletion(content: string): void {
    if (this.countCrashes(content) === 0) return;
    this.dropContent(content, 'it was run to its end');
  }

  /** Forgets a content, here and everywhere. */
  dropContent(content: string, reason: string): void {
    this.parts.log.writeInfo('The crashes of a content are forgotten.', {
      content,
      crashes: this.countCrashes(content),
      reason,
    });
    this.drop(content);
    this.publisher?.publishCleared(content);
    this.publisher?.deleteCrashes(content);
  }

  /** Takes crashes that another host or the store told. */
  acceptCrashes(crashes: readonly Crash[]): void {
    for (const crash of crashes) {
      if (isCrash(crash)) this.add(crash);
    }
  }

  /** Takes it that the store has no row of a crash any more. */
  dropCrash(crash: Crash): void {
    this.parts.ledger.dropCrash(crash);
  }

  /** Takes it that another host forgot a content. */
  acceptCleared(content: string): void {
    this.drop(content);
  }

  /** Forgets contents without a crash for long. */
  dropExpired(): void {
    const {ledger, clock} = this.parts;
    for (const content of ledger.dropExpired(clock.getNow())) {
      this.seenHere.delete(content);
    }
  }

  private drop(content: string): void {
    for (const crash of this.parts.ledger.listCrashes(content)) {
      this.forgotten.add(formatCrashKey(crash));
      const [oldest = ''] = this.forgotten;
      if (this.forgotten.size > MAX_FORGOTTEN) this.forgotten.delete(oldest);
    }
    this.parts.ledger.drop(content);
    this.seenHere.delete(content);
  }

  private add(crash: Crash): boolean {
    const {ledger, clock, log} = this.parts;
    const {content} = crash;
    if (this.forgotten.has(formatCrashKey(crash))) return false;
    const before = ledger.decide(content);
    if (!ledger.add(crash, clock.getNow())) return false;
    const verdict = ledger.decide(content);
    if (verdict !== before) {
      log.writeInfo('What is done with a content has changed.', {
        content,
        verdict,
        crashes: ledger.countCrashes(content),
      });
    }
    // Who saw one keeps all: the host that saw another may be lost by now.
    const isKept = ledger.countCrashes(content) >= SAVED_FROM;
    if (isKept && this.seenHere.has(content)) {
      this.publisher?.saveCrashes(ledger.listCrashes(content));
    }
    return true;
  }
}
