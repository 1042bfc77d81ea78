/** The kinds of requests that callers send, and what holds for each. */
import {
  formatSoakKey,
  formatTemporaryRoute,
  formatTemporaryStreamRoute,
  SOAK_ATTEMPTS,
  SOAK_KEY,
  SOAK_KEYED_PATH,
  SOAK_PATHS,
  SOAK_TEMPORARY_VERSIONS,
} from '@irisdock/users-platform/fixtures';

/** Kinds whose route is in each version. */
type LastingKind = keyof typeof SOAK_PATHS;

/** What a caller asks for. */
export type RequestKind =
  | LastingKind
  /** On routes that the newest version has and a later one drops. */
  | 'brief'
  | 'briefStream'
  /** With a key, and on a route, that a version dropped. */
  | 'droppedKey'
  | 'droppedRoute';

/** Where a request goes, and with what key. */
export interface RequestTarget {
  readonly path: string;
  readonly key: string;
}

const STREAMS: ReadonlySet<RequestKind> = new Set([
  'stream',
  'streamOnce',
  'streamFew',
  'briefStream',
]);
const RUN_ONCE: ReadonlySet<RequestKind> = new Set(['once', 'streamOnce']);
const TEMPORARY: ReadonlySet<RequestKind> = new Set([
  'brief',
  'briefStream',
  'droppedKey',
  'droppedRoute',
]);
/** How many versions ago a dropped route or key was dropped. */
const DROPPED_AGE = 2;

/** Tells whether it is answered by events. */
export function isStream(kind: RequestKind): boolean {
  return STREAMS.has(kind);
}

/** Tells whether it may run once at most. */
export function isRunOnce(kind: RequestKind): boolean {
  return RUN_ONCE.has(kind);
}

/** Tells whether hosts may rightly not know its route or key. */
export function isTemporary(kind: RequestKind): boolean {
  return TEMPORARY.has(kind);
}

/** Returns the number of endpoints on which a request may run. */
export function getMaxRuns(kind: RequestKind): number {
  if (kind in SOAK_ATTEMPTS) return SOAK_ATTEMPTS[kind as LastingKind];
  return isStream(kind) ? SOAK_ATTEMPTS.stream : SOAK_ATTEMPTS.repeatable;
}

/** Chooses where a request goes while a version is the newest. */
export function chooseTarget(
  kind: RequestKind,
  version: number,
): RequestTarget {
  const dropped = version - SOAK_TEMPORARY_VERSIONS - DROPPED_AGE;
  const key = SOAK_KEY;
  switch (kind) {
    case 'brief':
      return {path: `/${formatTemporaryRoute(version)}/x`, key};
    case 'briefStream':
      return {path: `/${formatTemporaryStreamRoute(version)}/x`, key};
    case 'droppedRoute':
      return {path: `/${formatTemporaryRoute(dropped)}/x`, key};
    case 'droppedKey':
      return {path: SOAK_KEYED_PATH, key: formatSoakKey(dropped)};
    default:
      return {path: SOAK_PATHS[kind], key};
  }
}
