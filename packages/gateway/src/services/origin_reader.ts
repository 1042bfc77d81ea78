/**
 * Reads the origins of streams from the store, for streams that no live host
 * knows. All rows are read at once, as a row has streams of many callers;
 * concurrent lookups share a read, and reads have a bounded rate. So the return
 * of thousands of callers after the loss of all hosts costs a few reads.
 */
import {
  listMatchingOrigins,
  type OriginKey,
  type OriginRecord,
} from '@irisdock/decisions';
import type {Clock, Logger, Random} from '@irisdock/kernel';
import {
  MAX_ROW_LIFE_MS,
  parseOriginRow,
  type SavedOrigin,
} from '../model/origin_row.js';
import type {RowChange, TableRow, TableStore} from '../model/table_store.js';
import {SeenRows} from './seen_rows.js';

/** How long a lookup waits for a read, in ms; callers wait meanwhile. */
const MAX_WAIT_MS = 500;
/** The delay after a failed read, in ms. */
const RETRY_MS = 100;
/** How many times a read is tried before it counts as failed. */
const MAX_TRIES = 5;
/**
 * How long the second read is awaited beyond the timeout of a call, in ms; each
 * later one is awaited twice as long. A store that is overloaded, or that has
 * many rows, may need seconds.
 */
const EXTRA_WAIT_MS = 500;
/** How long rows are kept in memory without a lookup, in ms. */
const KEPT_MS = 60_000;
/** The maximum number of streams in memory, some 250 bytes each. */
const MAX_STREAMS = 150_000;
/** After so many rows, or origins, other work of this host gets its turn. */
const ROWS_PER_TURN = 20;
const ORIGINS_PER_TURN = 300;
/** How far the clocks of two hosts usually differ, in ms. */
const MAX_CLOCK_DIFFERENCE_MS = 60_000;
/** The maximum number of expired rows that one read deletes. */
const MAX_DELETED_ROWS = 100;
/** The time between reads that only look for expired rows, in ms. */
const CLEANUP_INTERVAL_MS = MAX_ROW_LIFE_MS;
/** By up to this much that time differs, as hosts may start together, in ms. */
const MAX_CLEANUP_DELAY_MS = 60_000;
const MS_PER_SECOND = 1000;

/** What a lookup found in the store. */
export interface StoredOrigins {
  readonly records: readonly OriginRecord[];
  /** Whether the rows were read, in time for the lookup. */
  readonly isRead: boolean;
  /** The number of rows that the last read gave. */
  readonly rows: number;
}

/** Dependencies of the reader. */
export interface OriginReaderParts {
  readonly store: Pick<TableStore, 'readAll' | 'writeAll'>;
  readonly clock: Pick<Clock, 'getNow' | 'getWallNow' | 'wait'>;
  readonly log: Logger;
  readonly random: Random;
  /** Computes the minimum time between two reads, in ms. */
  readonly getIntervalMs: () => number;
  /** Counts a read. */
  readonly recordCall: (isOk: boolean) => void;
}

/** The streams of one read. */
interface ReadOrigins {
  readonly streams: ReadonlyMap<string, readonly SavedOrigin[]>;
  readonly rows: number;
}

/** Looks up origins in the store. */
export class OriginReader {
  private origins: ReadOrigins | undefined;
  /** By content; created by the first lookup that names no attempt. */
  private contents: ReadonlyMap<string, readonly SavedOrigin[]> | undefined;
  private reading: Promise<boolean> | undefined;
  private readAt = -Infinity;
  private isRead = false;
  private usedAt = -Infinity;
  private readonly seenRows = new SeenRows();
  private cleanupAt: number;

  constructor(private readonly parts: OriginReaderParts) {
    this.cleanupAt = this.computeCleanupAt();
  }

  /** Looks a stream up; reads the rows if none that were read tells. */
  async find(key: OriginKey): Promise<StoredOrigins> {
    const {clock} = this.parts;
    const startedAt = clock.getNow();
    this.usedAt = startedAt;
    const known = this.list(key);
    if (key.streamId !== undefined && known.length > 0) {
      return this.createResult(known, true);
    }
    const isRead = await Promise.race([
      this.loadAgain(),
      clock.wait(MAX_WAIT_MS).then(() => false),
    ]);
    const found = this.list(createLaterKey(key, clock.getNow() - startedAt));
    return this.createResult(found, isRead);
  }

  /** Frees the memory of rows that no lookup has used for a while. */
  dropUnused(): void {
    if (this.parts.clock.getNow() - this.usedAt < KEPT_MS) return;
    this.origins = undefined;
    this.contents = undefined;
  }

  /**
   * Reads the rows if that is due to find expired ones: some time after this
   * host started, as a lost host may have left some, and while there are rows.
   */
  async checkExpired(): Promise<void> {
    const {clock} = this.parts;
    if (clock.getNow() < this.cleanupAt) return;
    this.cleanupAt = this.computeCleanupAt();
    await this.loadAgain();
  }

  private createResult(
    records: readonly OriginRecord[],
    isRead: boolean,
  ): StoredOrigins {
    return {records, isRead, rows: this.origins?.rows ?? 0};
  }

  /** Reads the rows unless that was done just now; false if it failed. */
  private loadAgain(): Promise<boolean> {
    const {clock, getIntervalMs} = this.parts;
    if (this.reading !== undefined) return this.reading;
    const isRecent = clock.getNow() - this.readAt < getIntervalMs();
    if (isRecent) return Promise.resolve(this.isRead);
    this.readAt = clock.getNow();
    this.reading = this.load().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async load(): Promise<boolean> {
    const {store, clock, log, recordCall} = this.parts;
    this.isRead = false;
    for (let tries = 1; ; tries++) {
      const extraMs = tries === 1 ? 0 : EXTRA_WAIT_MS * 2 ** (tries - 2);
      const result = await store.readAll('origins', extraMs);
      recordCall(result.isOk());
      if (result.isOk()) {
        await this.accept(result.value.rows);
        this.isRead = true;
        return true;
      }
      const {kind} = result.error;
      log.writeWarning('Failed to read origins of streams.', {kind, tries});
      if (tries === MAX_TRIES) {
        this.readAt = clock.getNow();
        return false;
      }
      await clock.wait(RETRY_MS * tries);
    }
  }

  private async accept(rows: readonly TableRow[]): Promise<void> {
    const {clock, log} = this.parts;
    const startedAt = clock.getNow();
    const streams = new Map<string, readonly SavedOrigin[]>();
    // Only the wall clock of this host says that these are over.
    const doubtful: SavedOrigin[] = [];
    const expired: RowChange[] = [];
    let faults = 0;
    let skipped = 0;
    for (const [index, {key, value}] of rows.entries()) {
      if (index % ROWS_PER_TURN === ROWS_PER_TURN - 1) await clock.wait(0);
      if (value === undefined) continue;
      const parsed = parseOriginRow(value);
      if (parsed.isErr()) {
        faults++;
        continue;
      }
      const {value: row} = parsed;
      const isOver = this.seenRows.add(key, value.length, row, startedAt);
      if (isOver) {
        expired.push({key, value: undefined});
        continue;
      }
      for (const origin of row.origins) {
        if (!this.isNeeded(origin)) doubtful.push(origin);
        else if (!addOrigin(streams, origin)) skipped++;
      }
    }
    this.seenRows.endRead();
    for (const [index, origin] of doubtful.entries()) {
      if (index % ORIGINS_PER_TURN === 0) await clock.wait(0);
      if (!addOrigin(streams, origin)) skipped++;
    }
    this.origins = {streams, rows: rows.length};
    this.contents = undefined;
    this.planCleanup(rows.length, expired.length);
    log.writeInfo('Read the origins of streams.', {
      rows: rows.length,
      streams: streams.size,
      expired: expired.length,
      faults,
      skipped,
    });
    void this.deleteRows(this.chooseDeleted(expired));
  }

  private computeCleanupAt(): number {
    const {clock, random} = this.parts;
    const delayMs = random.getInt(MAX_CLEANUP_DELAY_MS);
    return clock.getNow() + CLEANUP_INTERVAL_MS + delayMs;
  }

  private planCleanup(rows: number, expired: number): void {
    if (rows === 0) this.cleanupAt = Infinity;
    else this.cleanupAt = this.computeCleanupAt();
    if (expired > MAX_DELETED_ROWS) this.cleanupAt = this.readAt;
  }

  /** Chooses at random, so that hosts that read together delete others. */
  private chooseDeleted(expired: readonly RowChange[]): readonly RowChange[] {
    if (expired.length <= MAX_DELETED_ROWS) return expired;
    const first = this.parts.random.getInt(expired.length);
    const rotated = [...expired.slice(first), ...expired.slice(0, first)];
    return rotated.slice(0, MAX_DELETED_ROWS);
  }

  /** Deletes rows that their hosts, perhaps lost ones, did not delete. */
  private async deleteRows(changes: readonly RowChange[]): Promise<void> {
    if (changes.length === 0) return;
    const result = await this.parts.store.writeAll('origins', changes);
    if (result.isOk()) return;
    const {kind} = result.error;
    this.parts.log.writeInfo('Failed to delete expired origins of streams.', {
      kind,
    });
  }

  private list(key: OriginKey): OriginRecord[] {
    const {streamId, content} = key;
    const found =
      streamId === undefined
        ? this.listContent(content)
        : this.origins?.streams.get(streamId);
    const wallNow = this.parts.clock.getWallNow();
    const records: OriginRecord[] = [];
    for (const {until, ...origin} of found ?? []) {
      const remainingMs = Math.max(0, until * MS_PER_SECOND - wallNow);
      records.push({...origin, remainingMs});
    }
    return listMatchingOrigins(key, records);
  }

  private listContent(content: string): readonly SavedOrigin[] {
    this.contents ??= createContents(this.origins);
    return this.contents.get(content) ?? [];
  }

  private isNeeded({until}: SavedOrigin): boolean {
    const wallNow = this.parts.clock.getWallNow();
    return until * MS_PER_SECOND + MAX_CLOCK_DIFFERENCE_MS > wallNow;
  }
}

/** Gives the key of a lookup some time after it began. */
function createLaterKey(key: OriginKey, waitedMs: number): OriginKey {
  const {remainingMs} = key;
  if (remainingMs === undefined) return key;
  return {...key, remainingMs: remainingMs - waitedMs};
}

/** Adds an origin; returns false if there are too many streams. */
function addOrigin(
  streams: Map<string, readonly SavedOrigin[]>,
  origin: SavedOrigin,
): boolean {
  const {streamId} = origin;
  const others = streams.get(streamId) ?? [];
  if (streams.size >= MAX_STREAMS && others.length === 0) return false;
  streams.set(streamId, [...others, origin]);
  return true;
}

function createContents(
  origins: ReadOrigins | undefined,
): ReadonlyMap<string, readonly SavedOrigin[]> {
  const contents = new Map<string, SavedOrigin[]>();
  for (const ofStream of origins?.streams.values() ?? []) {
    for (const origin of ofStream) {
      const others = contents.get(origin.content) ?? [];
      others.push(origin);
      contents.set(origin.content, others);
    }
  }
  return contents;
}
