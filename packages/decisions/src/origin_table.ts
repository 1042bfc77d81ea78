/**
 * The origins of streams that one host keeps, each until the caller's deadline
 * has passed. Attempts of one caller may reach different hosts, so a stream is
 * found by the attempt that brought its first event, or by its content.
 */

/** What is kept of a stream. */
export interface OriginRecord {
  /** Identifies the attempt that brought the first event. */
  readonly streamId: string;
  /** Identifies the request's content; several streams may share it. */
  readonly content: string;
  readonly service: string;
  /** The engine that sent the first event. */
  readonly instanceId: string;
  /** The version of its software. */
  readonly version: string;
  /** How long the record is still needed, in ms. */
  readonly remainingMs: number;
}

/** What a lookup is for. */
export interface OriginKey {
  /** Undefined if the caller did not name the attempt. */
  readonly streamId: string | undefined;
  readonly content: string;
  /**
   * The time to the caller's deadline, in ms, by which the streams of callers
   * that name no attempt are told apart; undefined without a deadline.
   */
  readonly remainingMs?: number | undefined;
}

/** The maximum number of streams; the oldest are evicted. */
const MAX_STREAMS = 20_000;
/** The maximum number of records that are found by one content. */
const MAX_MATCHES = 4;

/**
 * How far the deadlines of two attempts of one caller may differ, in ms. An
 * attempt that arrives late has a later deadline, and callers give up one that
 * takes more than a second to be read.
 */
const MAX_DEADLINE_DIFFERENCE_MS = 1000;

interface KeptOrigin {
  readonly record: OriginRecord;
  readonly expiresAt: number;
}

/** Keeps origins. */
export class OriginTable {
  /** Records by stream; several if reports on one stream contradict. */
  private readonly streams = new Map<string, readonly KeptOrigin[]>();
  private readonly contents = new Map<string, Set<string>>();

  constructor(private readonly maxStreams = MAX_STREAMS) {}

  /** The number of streams. */
  get size(): number {
    return this.streams.size;
  }

  /** Adds a record; the same one again extends its time. */
  add(record: OriginRecord, now: number): void {
    const {streamId, content} = record;
    const known = this.streams.get(streamId) ?? [];
    const others = known.filter((one) => !isSameOrigin(one.record, record));
    const expiresAt = now + record.remainingMs;
    this.streams.set(streamId, [...others, {record, expiresAt}]);
    const streamIds = this.contents.get(content) ?? new Set();
    this.contents.set(content, streamIds.add(streamId));
    const [oldest = ''] = this.streams.keys();
    if (this.streams.size > this.maxStreams) this.drop(oldest);
  }

  /** Lists the records of a stream, or else those with its content. */
  list(key: OriginKey, now: number): OriginRecord[] {
    const {streamId, content, remainingMs} = key;
    // Hosts of earlier versions name no deadline and expect all records.
    const isAnyCaller = remainingMs === undefined;
    const ofStream = this.listOfStream(streamId ?? '', now);
    if (ofStream.length > 0) return ofStream;
    const records: OriginRecord[] = [];
    const distinct: OriginRecord[] = [];
    for (const other of this.contents.get(content) ?? []) {
      for (const record of this.listOfStream(other, now)) {
        if (!isAnyCaller && !isFromCaller(key, record)) continue;
        records.push(record);
        const isKnown = distinct.some((one) => isSameOrigin(one, record));
        if (!isKnown) distinct.push(record);
      }
    }
    // Of many, one of each version is enough, and none may be left out.
    if (records.length <= MAX_MATCHES) return records;
    return distinct.slice(0, MAX_MATCHES);
  }

  /** Removes records whose time is over. */
  dropExpired(now: number): void {
    for (const [streamId, kept] of this.streams) {
      const isNeeded = kept.some(({expiresAt}) => expiresAt > now);
      if (!isNeeded) this.drop(streamId);
    }
  }

  private listOfStream(streamId: string, now: number): OriginRecord[] {
    const records: OriginRecord[] = [];
    for (const {record, expiresAt} of this.streams.get(streamId) ?? []) {
      if (expiresAt <= now) continue;
      records.push({...record, remainingMs: expiresAt - now});
    }
    return records;
  }

  private drop(streamId: string): void {
    for (const {record} of this.streams.get(streamId) ?? []) {
      const streamIds = this.contents.get(record.content);
      streamIds?.delete(streamId);
      if (streamIds?.size === 0) this.contents.delete(record.content);
    }
    this.streams.delete(streamId);
  }
}

/**
 * Whether a record may be that of a stream whose caller names no attempt: each
 * attempt of a caller names what is left to one deadline.
 */
export function isFromCaller(
  {content, remainingMs}: OriginKey,
  record: OriginRecord,
): boolean {
  if (record.content !== content || remainingMs === undefined) return false;
  const differenceMs = Math.abs(record.remainingMs - remainingMs);
  return differenceMs <= MAX_DEADLINE_DIFFERENCE_MS;
}

/** Whether two records name the same software of the same service. */
export function isSameOrigin(one: OriginRecord, other: OriginRecord): boolean {
  return one.service === other.service && one.version === other.version;
}
