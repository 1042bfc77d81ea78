/**
 * Decides which software version began a stream that a caller resumes. An
 * answer that joins events of two versions is worse than a refusal, so evidence
 * that contradicts itself decides nothing. A cached prompt is no evidence: it
 * proves that an engine read the prompt, not that it wrote the answer.
 */
import {
  isFromCaller,
  type OriginKey,
  type OriginRecord,
} from './origin_table.js';

/** What a host knows of the origin of a stream; versions may repeat. */
export interface OriginEvidence {
  /** Versions that live hosts recorded for the stream. */
  readonly recorded: readonly string[];
  /** Versions that hosts saved for the stream, perhaps lost ones since. */
  readonly stored: readonly string[];
  /**
   * All versions of the service that may have begun the stream; undefined if
   * the past of the service is not known.
   */
  readonly possible: readonly string[] | undefined;
}

/** What a decision rests on. */
export type OriginSource = 'only' | 'recorded' | 'stored';

/** Why the version is not known. */
export type OriginDoubt =
  /** Hosts recorded or saved several versions. */
  | 'contradiction'
  /** No host recorded or saved it, and the past of the service is unknown. */
  | 'past_unknown'
  /** No host recorded or saved it, and several versions are possible, or none. */
  | 'no_record';

/** The version that began a stream and how that is known, or why it is not. */
export type OriginDecision =
  | {readonly version: string; readonly source: OriginSource}
  | {
      readonly version: undefined;
      readonly source?: undefined;
      readonly doubt: OriginDoubt;
    };

/** Decides on the version by the strongest evidence there is. */
export function decideOriginVersion({
  recorded,
  stored,
  possible,
}: OriginEvidence): OriginDecision {
  const records = [...recorded, ...stored];
  if (records.length > 0) {
    const source = recorded.length > 0 ? 'recorded' : 'stored';
    const version = findOnlyValue(records);
    if (version !== undefined) return {version, source};
    return {version: undefined, doubt: 'contradiction'};
  }
  if (possible === undefined) {
    return {version: undefined, doubt: 'past_unknown'};
  }
  const version = findOnlyValue(possible);
  if (version !== undefined) return {version, source: 'only'};
  return {version: undefined, doubt: 'no_record'};
}

/**
 * Lists the records that tell of a stream: those of its attempt. Those of other
 * attempts with the same content count only if the caller named none and has
 * their deadline, as each may belong to a stream of another version.
 */
export function listMatchingOrigins(
  key: OriginKey,
  records: readonly OriginRecord[],
): OriginRecord[] {
  const {streamId} = key;
  if (streamId === undefined) {
    return records.filter((record) => isFromCaller(key, record));
  }
  return records.filter((record) => record.streamId === streamId);
}

/**
 * Finds the service that began a stream of a route.
 *
 * @param recorded The services that hosts recorded or saved for the stream.
 * @param possible The services of the route that may have begun streams.
 * @returns Undefined if it is not known.
 */
export function decideOriginService(
  recorded: readonly string[],
  possible: readonly string[],
): string | undefined {
  return findOnlyValue(recorded.length > 0 ? recorded : possible);
}

/** Finds the value that all have; undefined if there are several or none. */
function findOnlyValue(values: readonly string[]): string | undefined {
  const [value, ...others] = new Set(values);
  return others.length > 0 ? undefined : value;
}
