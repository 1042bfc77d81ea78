/** Reads, filters and formats raw HTTP header lines. */
import type {IncomingMessage} from 'node:http';
import {createHopByHopPredicate, type HeaderPredicate} from '@irisdock/kernel';
import type {HeaderLines} from '../model/request_metadata.js';

/** Reads the header lines of a message; names keep their case. */
export function readHeaderLines(message: IncomingMessage): HeaderLines {
  const raw = message.rawHeaders;
  const lines: [string, string][] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return lines;
}

/**
 * Drops the headers that concern the connection of a message only.
 *
 * @param isEndToEnd Which headers are kept even if the Connection header lists
 *     them.
 */
export function dropHopByHopHeaders(
  lines: HeaderLines,
  isEndToEnd: HeaderPredicate,
): HeaderLines {
  const options = listHeaderValues(lines, 'connection');
  const isHopByHop = createHopByHopPredicate(options, isEndToEnd);
  return lines.filter(([name]) => !isHopByHop(name.toLowerCase()));
}

/** Gives the first value of a header; its name is given in lower case. */
export function findHeader(
  lines: HeaderLines,
  name: string,
): string | undefined {
  for (const [lineName, value] of lines) {
    if (lineName.toLowerCase() === name) return value;
  }
  return undefined;
}

/** Formats the lines as the flat list of names and values that Node accepts. */
export function formatRawHeaders(lines: HeaderLines): string[] {
  const raw: string[] = [];
  for (const [name, value] of lines) raw.push(name, value);
  return raw;
}

/** Lists the trimmed values of all lines with one of the lower-case names. */
export function listHeaderValues(
  lines: HeaderLines,
  ...names: readonly string[]
): string[] {
  const values: string[] = [];
  for (const [name, value] of lines) {
    if (names.includes(name.toLowerCase())) values.push(value.trim());
  }
  return values;
}
