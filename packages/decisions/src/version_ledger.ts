/**
 * Which software versions of each service may have begun a stream that a caller
 * resumes now: those that its endpoints have, and those that they had within
 * the longest time in which a stream may be resumed. Each version has a row in
 * the store, which hosts that start later read.
 *
 * Absence is measured by this host's own observation on a steady clock. A host
 * that has just started, or that observed nothing for a while, counts anew, so
 * that clocks of other hosts and the past of the store need not be trusted: a
 * row is kept too long rather than deleted too early. A version that comes back
 * is written again, so that all hosts count anew, also those that missed it.
 */

/** A version of the software of a service's endpoints. */
export interface ServiceVersion {
  readonly service: string;
  /** Undefined for a version that is not known. */
  readonly version: string | undefined;
}

/** A version by the key of its row. */
export interface KeyedVersion extends ServiceVersion {
  readonly key: string;
}

/** The bounds of a ledger. */
export interface VersionLedgerOptions {
  /** How long after its last endpoint a version is kept, in ms. */
  readonly keepMs: number;
  /** The longest time between two observations without a gap, in ms. */
  readonly maxGapMs: number;
}

interface Entry extends KeyedVersion {
  /** When its absence began; undefined while it has endpoints. */
  absentSince: number | undefined;
  /** When its row was last written; undefined without a row. */
  savedAt: number | undefined;
  /** Since when its row has to be written; undefined if it need not be. */
  unsavedSince: number | undefined;
}

/** A row that was written this recently need not be written again, in ms. */
const RECENTLY_SAVED_MS = 10_000;

/** Tracks the versions of all services. */
export class VersionLedger {
  private readonly entries = new Map<string, Entry>();
  private updatedAt = -Infinity;

  constructor(private readonly options: VersionLedgerOptions) {}

  /**
   * Applies a row of the store that was written. Rows that were there before
   * this host started have to be applied before the first update.
   */
  applyRow(row: KeyedVersion, now: number): void {
    const entry = this.entries.get(row.key) ?? this.add(row, now);
    // When rows were written that were there before is not known.
    entry.savedAt = this.hasUpdated ? now : -Infinity;
    entry.unsavedSince = undefined;
    if (entry.absentSince !== undefined) entry.absentSince = now;
  }

  /**
   * Applies the deletion of a row. Its version stays possible for as long as
   * this host itself has not observed its absence for long enough.
   */
  dropRow(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    entry.savedAt = undefined;
    if (entry.absentSince === undefined) entry.unsavedSince = now;
  }

  /**
   * Records which versions have endpoints now, by their keys.
   *
   * @param isCurrent Whether other versions are known to have none.
   */
  update(
    present: ReadonlyMap<string, ServiceVersion>,
    isCurrent: boolean,
    now: number,
  ): void {
    const hasGap = now - this.updatedAt > this.options.maxGapMs;
    for (const [key, version] of present) this.recordPresent(key, version, now);
    for (const entry of this.entries.values()) {
      if (present.has(entry.key)) continue;
      if (!isCurrent || hasGap) entry.absentSince = now;
      entry.absentSince ??= now;
      if (entry.savedAt === undefined && this.isExpired(entry, now)) {
        this.entries.delete(entry.key);
      }
    }
    this.updatedAt = now;
  }

  /** Adds a version without endpoints whose row is about to be written. */
  addAbsent(version: KeyedVersion, now: number): void {
    if (this.entries.has(version.key)) return;
    this.add(version, now).unsavedSince = now;
  }

  /** Whether a version, by the key of its row, may have begun a stream. */
  has(key: string): boolean {
    return this.entries.has(key);
  }

  /** Forgets a version without a row that turned out not to be one. */
  dropUnsaved(key: string): void {
    if (this.entries.get(key)?.savedAt === undefined) this.entries.delete(key);
  }

  /** Lists the versions of a service that may have begun a stream. */
  listVersions(service: string): (string | undefined)[] {
    const versions: (string | undefined)[] = [];
    for (const entry of this.entries.values()) {
      if (entry.service === service) versions.push(entry.version);
    }
    return versions;
  }

  /** Whether any version has a row; of a service, if one is given. */
  hasRow(service?: string): boolean {
    for (const entry of this.entries.values()) {
      const isWanted = service === undefined || entry.service === service;
      if (isWanted && entry.savedAt !== undefined) return true;
    }
    return false;
  }

  /** Whether any version of another service has a row. */
  hasRowOfOther(service: string): boolean {
    for (const entry of this.entries.values()) {
      if (entry.service !== service && entry.savedAt !== undefined) return true;
    }
    return false;
  }

  /** Lists versions whose rows have to be written, for this long, in ms. */
  listUnsaved(minMs: number, now: number): KeyedVersion[] {
    return [...this.entries.values()].filter(
      ({unsavedSince}) =>
        unsavedSince !== undefined && now - unsavedSince >= minMs,
    );
  }

  /** Lists versions with rows that no stream needs any more. */
  listExpired(now: number): KeyedVersion[] {
    return [...this.entries.values()].filter(
      (entry) => entry.savedAt !== undefined && this.isExpired(entry, now),
    );
  }

  /** Marks the rows that the store lost as to be written again. */
  markLost(hasRow: (key: string) => boolean, now: number): void {
    for (const entry of this.entries.values()) {
      if (!hasRow(entry.key)) entry.unsavedSince ??= now;
    }
  }

  /** Counts the versions by whether their rows are up to date. */
  countVersions(): {readonly saved: number; readonly unsaved: number} {
    let saved = 0;
    for (const {savedAt, unsavedSince} of this.entries.values()) {
      if (savedAt !== undefined && unsavedSince === undefined) saved++;
    }
    return {saved, unsaved: this.entries.size - saved};
  }

  private get hasUpdated(): boolean {
    return this.updatedAt !== -Infinity;
  }

  private recordPresent(
    key: string,
    version: ServiceVersion,
    now: number,
  ): void {
    const known = this.entries.get(key);
    if (known === undefined) {
      const entry = this.add({key, ...version}, now);
      entry.absentSince = undefined;
      entry.unsavedSince = now;
      return;
    }
    if (known.absentSince === undefined) return;
    known.absentSince = undefined;
    const {savedAt = -Infinity} = known;
    const isReturn = this.hasUpdated && now - savedAt > RECENTLY_SAVED_MS;
    if (isReturn) known.unsavedSince ??= now;
  }

  private add({key, service, version}: KeyedVersion, now: number): Entry {
    const entry: Entry = {
      key,
      service,
      version,
      absentSince: now,
      savedAt: undefined,
      unsavedSince: undefined,
    };
    this.entries.set(key, entry);
    return entry;
  }

  private isExpired({absentSince}: Entry, now: number): boolean {
    if (absentSince === undefined) return false;
    return now - absentSince >= this.options.keepMs;
  }
}
