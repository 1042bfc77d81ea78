/**
 * Decides which software version began a stream that a caller resumes. An
 * answer that joins events of two versions is worse than a refusal, so evidence
 * that contradicts itself decides nothing.
 */

/** What a host knows of the origin of a stream; versions may repeat. */
export interface OriginEvidence {
  /** Versions that hosts recorded for the stream. */
  readonly recorded: readonly string[];
  /** Versions of the engines that have the whole prompt in their cache. */
  readonly cached: readonly string[];
  /** Versions of all known engines of the service. */
  readonly listed: readonly string[];
}

/** What a decision rests on. */
export type OriginSource = 'cached' | 'only' | 'recorded';

/** The version that began a stream, and how that is known. */
export interface OriginDecision {
  readonly version: string;
  readonly source: OriginSource;
}

/** Decides on the version; undefined if it is not known. */
export function decideOriginVersion({
  recorded,
  cached,
  listed,
}: OriginEvidence): OriginDecision | undefined {
  if (recorded.length > 0) return decideFrom(recorded, 'recorded');
  if (cached.length > 0) return decideFrom(cached, 'cached');
  return decideFrom(listed, 'only');
}

function decideFrom(
  versions: readonly string[],
  source: OriginSource,
): OriginDecision | undefined {
  const [version, ...others] = new Set(versions);
  if (version === undefined || others.length > 0) return undefined;
  return {version, source};
}
