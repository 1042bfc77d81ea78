/**
 * The rows of origins of one host: which streams are in each, and which rows
 * are to be written or deleted. Streams are added to the newest row until it is
 * full, old or in doubt; a row in doubt, whose write has failed, is only ever
 * written with the same streams again, as the failed write may take effect
 * after the next one.
 */
import {
  formatOriginKey,
  formatOriginRow,
  type SavedOrigin,
} from '../model/origin_row.js';
import type {RowChange} from '../model/table_store.js';

/**
 * How long streams are added to one row, in ms. Each write sends the row whole,
 * so a longer time costs bytes, a shorter one rows to read.
 */
const SEGMENT_MS = 2500;
/** The size from which a row gets no more streams, in bytes of JSON. */
const MAX_SEGMENT_BYTES = 8000;
/** The maximum number of rows that one call writes. */
const MAX_WRITTEN_ROWS = 40;
/** The maximum number of rows that one call deletes; the store takes 100. */
const MAX_DELETED_ROWS = 50;
/** The maximum number of streams; those of the oldest rows are dropped. */
const MAX_STREAMS = 20_000;

/** The streams of one row. */
interface Segment {
  readonly key: string;
  readonly startedAt: number;
  origins: readonly SavedOrigin[];
  bytes: number;
  isUnsaved: boolean;
  isClosed: boolean;
  /** When none of its streams is needed any more, by the steady clock. */
  expiresAt: number;
}

/** One call to the store. */
export interface OriginBatch {
  readonly changes: readonly RowChange[];
  /** Marks the rows as written and deleted. */
  finish(): void;
  /** Makes the same rows be written again. */
  fail(): void;
}

/** The rows of one host. */
export class OriginSegments {
  /** The oldest first. */
  private segments: Segment[] = [];
  private count = 0;
  private streams = 0;

  constructor(
    private readonly host: string,
    private readonly incarnation: number,
  ) {}

  /** The number of streams that are not known to be in the store. */
  get unsaved(): number {
    let count = 0;
    for (const {isUnsaved, origins} of this.segments) {
      if (isUnsaved) count += origins.length;
    }
    return count;
  }

  /**
   * Adds a stream.
   *
   * @param expiresAt When it is no longer needed, by the steady clock: the wall
   *     clock may jump.
   */
  add(origin: SavedOrigin, now: number, expiresAt: number): void {
    const segment = this.findOpen(now) ?? this.createSegment(now);
    segment.origins = [...segment.origins, origin];
    segment.bytes += measureOrigin(origin);
    segment.expiresAt = Math.max(segment.expiresAt, expiresAt);
    segment.isUnsaved = true;
    this.streams++;
    this.dropOldest();
  }

  /** Makes all rows be written again, as the store may have lost them. */
  markUnsaved(): void {
    for (const segment of this.segments) {
      segment.isUnsaved = segment.origins.length > 0;
      segment.isClosed = true;
    }
  }

  /** Whether rows are to be deleted, with no stream needed since a time. */
  hasExpired(now: number): boolean {
    return this.segments.some(({expiresAt}) => expiresAt <= now);
  }

  /** Takes the changes of the next call; undefined if there are none. */
  takeBatch(now: number): OriginBatch | undefined {
    const expired: Segment[] = [];
    const written: Segment[] = [];
    for (const segment of this.segments) {
      if (segment.expiresAt <= now) {
        if (expired.length < MAX_DELETED_ROWS) expired.push(segment);
      } else if (segment.isUnsaved && written.length < MAX_WRITTEN_ROWS) {
        written.push(segment);
      }
    }
    if (expired.length + written.length === 0) return undefined;
    const changes: RowChange[] = [];
    for (const {key} of expired) changes.push({key, value: undefined});
    for (const segment of written) {
      const {key, origins, startedAt, expiresAt} = segment;
      const lifeMs = Math.ceil(expiresAt - startedAt);
      changes.push({key, value: formatOriginRow({origins, lifeMs})});
    }
    const counts = new Map<Segment, number>();
    for (const segment of written) {
      segment.isUnsaved = false;
      counts.set(segment, segment.origins.length);
    }
    return {
      changes,
      finish: () => {
        this.removeAll(new Set(expired));
      },
      fail: () => {
        for (const [segment, count] of counts) this.split(segment, count);
      },
    };
  }

  /** Moves the streams that a failed call did not write to another row. */
  private split(segment: Segment, count: number): void {
    const later = segment.origins.slice(count);
    segment.origins = segment.origins.slice(0, count);
    segment.isUnsaved = true;
    segment.isClosed = true;
    this.streams -= later.length;
    const {startedAt, expiresAt} = segment;
    for (const origin of later) this.add(origin, startedAt, expiresAt);
  }

  private findOpen(now: number): Segment | undefined {
    const last = this.segments.at(-1);
    if (last === undefined || last.isClosed) return undefined;
    if (last.bytes >= MAX_SEGMENT_BYTES) return undefined;
    return now - last.startedAt < SEGMENT_MS ? last : undefined;
  }

  private createSegment(startedAt: number): Segment {
    const key = formatOriginKey(this.host, this.incarnation, this.count++);
    const segment: Segment = {
      key,
      startedAt,
      origins: [],
      bytes: 0,
      isUnsaved: false,
      isClosed: false,
      expiresAt: -Infinity,
    };
    this.segments.push(segment);
    return segment;
  }

  private removeAll(removed: ReadonlySet<Segment>): void {
    for (const {origins} of removed) this.streams -= origins.length;
    this.segments = this.segments.filter((one) => !removed.has(one));
  }

  /** A row without streams stays listed until it has been deleted. */
  private dropOldest(): void {
    for (const segment of this.segments) {
      if (this.streams <= MAX_STREAMS) return;
      this.streams -= segment.origins.length;
      segment.origins = [];
      segment.isUnsaved = false;
      segment.isClosed = true;
    }
  }
}

/** Measures a stream in a row, in bytes of JSON. */
function measureOrigin(origin: SavedOrigin): number {
  const row = {origins: [origin], lifeMs: undefined};
  return Buffer.byteLength(formatOriginRow(row));
}
