/** Reads, filters and formats raw HTTP header lines. */
import type {IncomingMessage} from 'node:http';
import type {HeaderLines} from '../model/request_metadata.js';

/** Headers that apply to one connection only and are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

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
 * Drops the hop-by-hop headers, those that the Connection header lists
 * included, and Content-Length, as each connection frames its bodies itself.
 *
 * @param isEndToEnd Which headers are kept even if the Connection header lists
 *     them, by their name in lower case.
 */
export function dropHopByHopHeaders(
  lines: HeaderLines,
  isEndToEnd: (name: string) => boolean = () => false,
): HeaderLines {
  const options = listConnectionOptions(lines);
  const kept: (readonly [string, string])[] = [];
  for (const line of lines) {
    const name = line[0].toLowerCase();
    if (name === 'content-length') continue;
    if (HOP_BY_HOP_HEADERS.has(name)) continue;
    if (!options.has(name) || isEndToEnd(name)) kept.push(line);
  }
  return kept;
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

function listConnectionOptions(lines: HeaderLines): ReadonlySet<string> {
  const options = new Set<string>();
  for (const [name, value] of lines) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const token of value.split(',')) {
      options.add(token.trim().toLowerCase());
    }
  }
  return options;
}
