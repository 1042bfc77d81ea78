/**
 * Rows of the table of versions: one for each pair of a service and a version
 * of its software, so that concurrent writes of several hosts don't overwrite
 * each other. The key alone identifies the version, so that a row whose value
 * cannot be read still counts. Rows with another key are ignored.
 */
import type {ServiceVersion} from '@irisdock/decisions';
import {hashToHex} from './text_digest.js';

/** The value of a row, for operators; only that it changes has a meaning. */
export interface VersionRowValue {
  /** The host that wrote the row. */
  readonly host: string;
  /** When it did so, in ms since 1970 by its own clock. */
  readonly at: number;
  /** Tells apart writes for which the clock shows the same time. */
  readonly write: number;
}

/** Two parts fit into a key; the store accepts 200 bytes. */
const MAX_PART_LENGTH = 90;
const SEPARATOR = '/';
/** Stands for an unknown version; encoded texts don't contain the character. */
const UNKNOWN = '=';

/**
 * The key of the row that counts as a version of any service which is not
 * known: others may have served before the first row of the history.
 */
export const UNKNOWN_PAST_KEY = `${UNKNOWN}${SEPARATOR}${UNKNOWN}`;

/** Formats the key of a version's row. */
export function formatVersionKey({service, version}: ServiceVersion): string {
  const part = version === undefined ? UNKNOWN : formatPart(version);
  return `${formatPart(service)}${SEPARATOR}${part}`;
}

/**
 * Parses the key of a row; undefined when it names no version. A text of which
 * the key contains only the digest is given as that.
 */
export function parseVersionKey(key: string): ServiceVersion | undefined {
  const [service = '', version, ...rest] = key.split(SEPARATOR);
  if (service === '' || version === undefined || rest.length > 0) {
    return undefined;
  }
  try {
    return {
      service: decodeURIComponent(service),
      version: version === UNKNOWN ? undefined : decodeURIComponent(version),
    };
  } catch {
    return undefined;
  }
}

/** Formats the value of a row. */
export function formatVersionValue(value: VersionRowValue): string {
  return JSON.stringify(value);
}

/** Formats a text as a part of a key; one that is too long as its digest. */
function formatPart(text: string): string {
  // Replaces lone surrogates, which cannot be encoded.
  const wellFormed = Buffer.from(text).toString();
  const encoded = encodeURIComponent(wellFormed);
  if (encoded.length <= MAX_PART_LENGTH) return encoded;
  return `${UNKNOWN}${hashToHex(text)}`;
}
