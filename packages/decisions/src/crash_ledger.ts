/**
 * Which contents end the endpoints that run them. A content is what makes two
 * requests the same one for whoever runs them; a crash is an endpoint that ended
 * while it ran a content. Three crashes are enough to refuse a content; what
 * ran beside it on the same endpoints must be served all the same.
 *
 * So a crash counts for a content by what else ran there: in full when all the
 * others there are less suspect, half beside one that is as suspect, and not at
 * all beside one that is more. Less suspect is what has fewer crashes without
 * another suspect, then what has fewer crashes. The number of crashes alone does
 * not decide: a sound content that ran beside two bad ones has more than either.
 *
 * A content is refused only if one of its crashes had no other suspect. Suspects
 * run apart, so the next run of a bad content gives that evidence, and a sound
 * one is run to its end. Whatever else counts, no content ends more than six
 * endpoints.
 *
 * Crashes are known by content and start of an endpoint, so those of several
 * hosts add up in any order, and one that is told twice counts once.
 */

/** Crashes that count before a content is refused. */
export const REFUSAL_THRESHOLD = 3;
/**
 * Crashes from which on a content is refused whatever ran beside it: the three
 * runs that the users' rules allow after the third crash.
 */
export const MAX_CRASHES = 6;
/** Crashes from which on a content is a suspect to what ran beside it. */
const SUSPECT_FROM = 2;
/** What a crash counts beside a content that is as suspect. */
const TIE_WEIGHT = 0.5;

/** An endpoint that ended while it ran a content. */
export interface Crash {
  /** The name of the content. */
  readonly content: string;
  /** The start of the endpoint. */
  readonly instanceId: string;
}

/** What is done with a content. */
export type ContentVerdict =
  /** Nothing is known of it. */
  | 'clear'
  /** It is not run any more. */
  | 'refused'
  /** It runs apart from others. */
  | 'suspected';

/** Bounds of what is remembered. */
export interface CrashLedgerOptions {
  /** How long a content is remembered after its last crash, in ms. */
  readonly keepMs: number;
  /** Contents remembered; the one without a crash for longest gives way. */
  readonly maxContents: number;
}

/** A content that is remembered. */
export interface ContentCrashes {
  readonly content: string;
  /** The starts of the endpoints that ended, in the order of learning. */
  readonly instanceIds: readonly string[];
  /** When the last crash was learned of, on the monotonic clock. */
  readonly lastAt: number;
}

/** How suspect a content is; compared in this order. */
interface Suspicion {
  /** Crashes without another suspect. */
  readonly unshared: number;
  readonly crashes: number;
}

interface Entry {
  readonly instanceIds: Set<string>;
  lastAt: number;
}

/** Remembers crashes. */
export class CrashLedger {
  /** In the order of their last crash. */
  private readonly entries = new Map<string, Entry>();
  /** The contents that a start ended under. */
  private readonly contentsAt = new Map<string, Set<string>>();

  constructor(private readonly options: CrashLedgerOptions) {}

  /** The number of contents that are remembered. */
  get size(): number {
    return this.entries.size;
  }

  /** Takes a crash; false when it was known, or enough are. */
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
    const contents = this.contentsAt.get(instanceId) ?? new Set<string>();
    this.contentsAt.set(instanceId, contents.add(content));
    this.dropBeyond();
    return true;
  }

  /** Says what is done with a content. */
  decide(content: string): ContentVerdict {
    const entry = this.entries.get(content);
    if (entry === undefined) return 'clear';
    const {size} = entry.instanceIds;
    if (size >= MAX_CRASHES) return 'refused';
    if (size < REFUSAL_THRESHOLD) return 'suspected';
    const suspicion = this.computeSuspicion(content);
    if (suspicion.unshared === 0) return 'suspected';
    let counted = 0;
    for (const instanceId of entry.instanceIds) {
      counted += this.computeWeight(content, suspicion, instanceId);
    }
    return counted >= REFUSAL_THRESHOLD ? 'refused' : 'suspected';
  }

  /** Whether a start of an endpoint ended while it ran a known content. */
  hasCrashed(instanceId: string): boolean {
    return this.contentsAt.has(instanceId);
  }

  /** Gives the number of crashes of a content. */
  countCrashes(content: string): number {
    return this.entries.get(content)?.instanceIds.size ?? 0;
  }

  /** Lists the crashes of a content. */
  listCrashes(content: string): Crash[] {
    const instanceIds = this.entries.get(content)?.instanceIds ?? [];
    return [...instanceIds].map((instanceId) => ({content, instanceId}));
  }

  /** Lists all contents that are remembered. */
  listContents(): ContentCrashes[] {
    return [...this.entries].map(([content, {instanceIds, lastAt}]) => ({
      content,
      instanceIds: [...instanceIds],
      lastAt,
    }));
  }

  /** Forgets a content. */
  drop(content: string): void {
    const entry = this.entries.get(content);
    if (entry === undefined) return;
    this.entries.delete(content);
    for (const instanceId of entry.instanceIds) {
      const contents = this.contentsAt.get(instanceId);
      contents?.delete(content);
      if (contents?.size === 0) this.contentsAt.delete(instanceId);
    }
  }

  /** Forgets one crash of a content. */
  dropCrash({content, instanceId}: Crash): void {
    const entry = this.entries.get(content);
    if (entry?.instanceIds.delete(instanceId) !== true) return;
    const contents = this.contentsAt.get(instanceId);
    contents?.delete(content);
    if (contents?.size === 0) this.contentsAt.delete(instanceId);
    if (entry.instanceIds.size === 0) this.entries.delete(content);
  }

  /** Forgets the contents without a crash for long, and gives their names. */
  dropExpired(now: number): string[] {
    const expired: string[] = [];
    for (const [content, {lastAt}] of this.entries) {
      if (now - lastAt < this.options.keepMs) break;
      expired.push(content);
    }
    for (const content of expired) this.drop(content);
    return expired;
  }

  private computeWeight(
    content: string,
    suspicion: Suspicion,
    instanceId: string,
  ): number {
    let weight = 1;
    for (const other of this.listOthers(content, instanceId)) {
      const order = compareSuspicions(this.computeSuspicion(other), suspicion);
      if (order > 0) return 0;
      if (order === 0) weight = TIE_WEIGHT;
    }
    return weight;
  }

  private computeSuspicion(content: string): Suspicion {
    const instanceIds = this.entries.get(content)?.instanceIds ?? [];
    let unshared = 0;
    let crashes = 0;
    for (const instanceId of instanceIds) {
      crashes++;
      if (!this.hasOtherSuspect(content, instanceId)) unshared++;
    }
    return {unshared, crashes};
  }

  private hasOtherSuspect(content: string, instanceId: string): boolean {
    for (const other of this.listOthers(content, instanceId)) {
      if (this.countCrashes(other) >= SUSPECT_FROM) return true;
    }
    return false;
  }

  /** Lists the other contents that a start ended under. */
  private listOthers(content: string, instanceId: string): string[] {
    const contents = this.contentsAt.get(instanceId) ?? [];
    return [...contents].filter((other) => other !== content);
  }

  private dropBeyond(): void {
    if (this.entries.size <= this.options.maxContents) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.drop(oldest);
  }
}

/** Positive when the first is more suspect. */
function compareSuspicions(one: Suspicion, two: Suspicion): number {
  return one.unshared - two.unshared || one.crashes - two.crashes;
}
