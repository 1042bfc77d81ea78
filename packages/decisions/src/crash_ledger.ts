/**
 * Decides which request contents crash the endpoints that run them. Requests
 * with equal content are the same request to an endpoint. A crash is an
 * endpoint instance (one start of an endpoint's process) that ended while it
 * ran a content. Three crashes are enough to refuse a content, but contents
 * that merely ran on the same instances must still be served.
 *
 * Each crash is therefore attributed to the most suspect of the contents that
 * ran on the instance. Suspicion is ordered by the number of crashes without
 * another suspect, then by the number of all crashes. The number of all crashes
 * alone is not enough: a sound content that ran next to two bad ones has more
 * crashes than either of them. From two crashes without another suspect on,
 * contents are equally suspect, so that further crashes of one don't change the
 * attribution. Among equally suspect ones a hash decides: if a shared crash
 * counted against none in full, two bad contents would each be run once more.
 *
 * A content is refused only if it was the sole suspect in at least one crash.
 * Suspected contents run isolated from each other, so the next run either
 * provides that evidence or completes. Regardless of the attribution, a content
 * never ends more than six endpoint instances.
 *
 * A crash is identified by content and endpoint instance. Reports of several
 * hosts can therefore be merged in any order, and duplicates count once.
 */

import {hashText} from './hash.js';

/** Number of attributed crashes from which a content is refused. */
export const REFUSAL_THRESHOLD = 3;
/**
 * Number of crashes from which a content is refused whatever ran beside it. The
 * requirements allow three further runs after the third crash.
 */
export const MAX_CRASHES = 6;
/** Crashes from which a content is a suspect in the crashes of others. */
const SUSPECT_THRESHOLD = 2;
/** Crashes without another suspect from which all contents rank the same. */
const MAX_RANKED_SOLE_CRASHES = 2;

/** An endpoint instance that ended while it ran a content. */
export interface Crash {
  /** The key of the content. */
  readonly content: string;
  /** The endpoint instance: one start of the endpoint's process. */
  readonly instanceId: string;
}

/** How requests with a content are handled. */
export type ContentVerdict =
  /** No crash is recorded; the content is served normally. */
  | 'clear'
  /** It is no longer run. */
  | 'refused'
  /** It runs isolated from other suspects. */
  | 'suspected';

/** Limits of a crash ledger. */
export interface CrashLedgerOptions {
  /** How long a content is kept after its last crash, in ms. */
  readonly keepMs: number;
  /** Contents kept; the one whose last crash is oldest is dropped first. */
  readonly maxContents: number;
}

/** The recorded crashes of one content. */
export interface ContentCrashes {
  readonly content: string;
  /** The endpoint instances that ended, in the order they were recorded. */
  readonly instanceIds: readonly string[];
  /** When the last crash was recorded, in ms on the monotonic clock. */
  readonly lastAt: number;
}

/** How suspect a content is; compared field by field in this order. */
interface Suspicion {
  /** Crashes without another suspect on the instance, up to the maximum. */
  readonly soleSuspectCrashes: number;
  /** All crashes; 0 at the maximum of the above. */
  readonly crashes: number;
}

interface Entry {
  readonly instanceIds: Set<string>;
  lastAt: number;
}

/** Records crashes and decides how each content is handled. */
export class CrashLedger {
  /** By content, in the order of the last crash. */
  private readonly entries = new Map<string, Entry>();
  /** The contents that ran on each instance when it ended. */
  private readonly contentsByInstance = new Map<string, Set<string>>();

  constructor(private readonly options: CrashLedgerOptions) {}

  /** The number of contents with recorded crashes. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Records a crash; false if it is already known or the content has reached
   * the maximum number of crashes.
   */
  add({content, instanceId}: Crash, now: number): boolean {
    const entry = this.entries.get(content) ?? {
      instanceIds: new Set<string>(),
      lastAt: now,
    };
    const {instanceIds} = entry;
    if (instanceIds.has(instanceId)) return false;
    if (instanceIds.size >= MAX_CRASHES) return false;
    instanceIds.add(instanceId);
    entry.lastAt = now;
    this.entries.delete(content);
    this.entries.set(content, entry);
    const contents =
      this.contentsByInstance.get(instanceId) ?? new Set<string>();
    this.contentsByInstance.set(instanceId, contents.add(content));
    this.dropExcess();
    return true;
  }

  /** Decides how requests with a content are handled. */
  decide(content: string): ContentVerdict {
    const entry = this.entries.get(content);
    if (entry === undefined) return 'clear';
    const {size} = entry.instanceIds;
    if (size >= MAX_CRASHES) return 'refused';
    if (size < REFUSAL_THRESHOLD) return 'suspected';
    const suspicion = this.computeSuspicion(content);
    if (suspicion.soleSuspectCrashes === 0) return 'suspected';
    return this.countAttributed(content) >= REFUSAL_THRESHOLD
      ? 'refused'
      : 'suspected';
  }

  /**
   * Whether any crash counts against a content: false also if on each of the
   * instances a more suspect content ran that crashed another one alone.
   */
  hasEvidence(content: string): boolean {
    return this.listInstances(content).some((instanceId) =>
      this.listOtherContents(content, instanceId).every(
        (other) => !this.isExplainedBy(content, other),
      ),
    );
  }

  /** Whether a recorded crash ended this endpoint instance. */
  hasCrashed(instanceId: string): boolean {
    return this.contentsByInstance.has(instanceId);
  }

  /** Whether a content that crashed others too ended this instance. */
  hasSuspectCrashed(instanceId: string): boolean {
    const contents = this.contentsByInstance.get(instanceId) ?? [];
    return [...contents].some((content) => {
      return this.countCrashes(content) >= SUSPECT_THRESHOLD;
    });
  }

  /** Returns the number of crashes of a content. */
  countCrashes(content: string): number {
    return this.entries.get(content)?.instanceIds.size ?? 0;
  }

  /** Returns when a content's last crash was recorded; undefined for none. */
  findLastCrashTime(content: string): number | undefined {
    return this.entries.get(content)?.lastAt;
  }

  /** Lists the crashes of a content. */
  listCrashes(content: string): Crash[] {
    const instanceIds = this.entries.get(content)?.instanceIds ?? [];
    return [...instanceIds].map((instanceId) => ({content, instanceId}));
  }

  /** Lists all contents with recorded crashes. */
  listContents(): ContentCrashes[] {
    return [...this.entries].map(([content, {instanceIds, lastAt}]) => ({
      content,
      instanceIds: [...instanceIds],
      lastAt,
    }));
  }

  /** Drops a content with all its crashes. */
  drop(content: string): void {
    const entry = this.entries.get(content);
    if (entry === undefined) return;
    this.entries.delete(content);
    for (const instanceId of entry.instanceIds) {
      const contents = this.contentsByInstance.get(instanceId);
      contents?.delete(content);
      if (contents?.size === 0) this.contentsByInstance.delete(instanceId);
    }
  }

  /** Drops one crash of a content. */
  dropCrash({content, instanceId}: Crash): void {
    const entry = this.entries.get(content);
    if (entry?.instanceIds.delete(instanceId) !== true) return;
    const contents = this.contentsByInstance.get(instanceId);
    contents?.delete(content);
    if (contents?.size === 0) this.contentsByInstance.delete(instanceId);
    if (entry.instanceIds.size === 0) this.entries.delete(content);
  }

  /** Drops contents whose last crash has expired; returns their keys. */
  dropExpired(now: number): string[] {
    const expired: string[] = [];
    for (const [content, {lastAt}] of this.entries) {
      if (now - lastAt < this.options.keepMs) break;
      expired.push(content);
    }
    for (const content of expired) this.drop(content);
    return expired;
  }

  /**
   * Whether another content is the proven cause of crashes that both share. A
   * sound content that met two bad ones is more suspect than either at first,
   * but was never alone.
   */
  private isExplainedBy(content: string, other: string): boolean {
    const suspicion = this.computeSuspicion(content);
    const otherSuspicion = this.computeSuspicion(other);
    if (compareSuspicions(otherSuspicion, suspicion) <= 0) return false;
    return this.listInstances(other).some((instanceId) => {
      return this.listOtherContents(other, instanceId).length === 0;
    });
  }

  /** Counts the crashes that are attributed to a content. */
  private countAttributed(content: string): number {
    const suspicion = this.computeSuspicion(content);
    const attributed = this.listInstances(content).filter((instanceId) =>
      this.isAttributed({content, instanceId}, suspicion),
    );
    return attributed.length;
  }

  private isAttributed(
    {content, instanceId}: Crash,
    suspicion: Suspicion,
  ): boolean {
    return this.listOtherContents(content, instanceId).every((other) => {
      const otherSuspicion = this.computeSuspicion(other);
      const comparison =
        compareSuspicions(otherSuspicion, suspicion) ||
        compareCrashes({content: other, instanceId}, {content, instanceId});
      return comparison < 0;
    });
  }

  private computeSuspicion(content: string): Suspicion {
    let soleSuspectCrashes = 0;
    let crashes = 0;
    for (const instanceId of this.listInstances(content)) {
      crashes++;
      if (!this.hasOtherSuspect(content, instanceId)) soleSuspectCrashes++;
      if (soleSuspectCrashes === MAX_RANKED_SOLE_CRASHES) {
        return {soleSuspectCrashes, crashes: 0};
      }
    }
    return {soleSuspectCrashes, crashes};
  }

  /** Whether another suspect ran on the instance when it ended. */
  private hasOtherSuspect(content: string, instanceId: string): boolean {
    for (const other of this.listOtherContents(content, instanceId)) {
      if (this.countCrashes(other) >= SUSPECT_THRESHOLD) return true;
    }
    return false;
  }

  private listInstances(content: string): string[] {
    return [...(this.entries.get(content)?.instanceIds ?? [])];
  }

  /** Lists the other contents that ran on an instance when it ended. */
  private listOtherContents(content: string, instanceId: string): string[] {
    const contents = this.contentsByInstance.get(instanceId) ?? [];
    return [...contents].filter((other) => other !== content);
  }

  private dropExcess(): void {
    if (this.entries.size <= this.options.maxContents) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.drop(oldest);
  }
}

/** Returns a positive number if the first is more suspect. */
function compareSuspicions(a: Suspicion, b: Suspicion): number {
  return a.soleSuspectCrashes - b.soleSuspectCrashes || a.crashes - b.crashes;
}

/** Orders contents that are equally suspect in the crash of one instance. */
function compareCrashes(a: Crash, b: Crash): number {
  return hashCrash(b) - hashCrash(a) || (a.content < b.content ? 1 : -1);
}

function hashCrash({content, instanceId}: Crash): number {
  return hashText(`${instanceId}/${content}`);
}
