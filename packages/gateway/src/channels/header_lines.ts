/** Header lines as they stand on the wire. */
import type {IncomingMessage} from 'node:http';
import type {HeaderLines} from '../model/request_metadata.js';

/** Headers that concern one connection only and are never passed on. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Reads the header lines of a message, names as they were sent. */
export function readHeaderLines(message: IncomingMessage): HeaderLines {
  const raw = message.rawHeaders;
  const lines: [string, string][] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    lines.push([raw[at] ?? '', raw[at + 1] ?? '']);
  }
  return lines;
}

/**
 * Drops what concerns one connection, and the length, as bodies are framed
 * anew on each connection.
 */
export function dropHopByHopHeaders(lines: HeaderLines): HeaderLines {
  const named = listNamedByConnection(lines);
  const kept: (readonly [string, string])[] = [];
  for (const line of lines) {
    const name = line[0].toLowerCase();
    if (name === 'content-length') continue;
    if (CONNECTION_HEADERS.has(name) || named.has(name)) continue;
    kept.push(line);
  }
  return kept;
}

/** Gives the first value of a header. */
export function findHeader(
  lines: HeaderLines,
  name: string,
): string | undefined {
  for (const [lineName, value] of lines) {
    if (lineName.toLowerCase() === name) return value;
  }
  return undefined;
}

/** Gives the lines as the flat list that Node writes. */
export function formatRawHeaders(lines: HeaderLines): string[] {
  const raw: string[] = [];
  for (const [name, value] of lines) raw.push(name, value);
  return raw;
}

function listNamedByConnection(lines: HeaderLines): ReadonlySet<string> {
  const named = new Set<string>();
  for (const [name, value] of lines) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const token of value.split(',')) {
      named.add(token.trim().toLowerCase());
    }
  }
  return named;
}
