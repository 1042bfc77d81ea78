/**
 * Log lines as the daemons write them, one JSON object a line; collectors
 * often put the name of the host before it.
 */
import * as z from 'zod';

const LINE_SCHEMA = z.object({
  message: z.string(),
  time: z.number(),
  context: z.record(z.string(), z.unknown()),
});

/** Fields that every line has and that say nothing of a decision. */
const PLUMBING: ReadonlySet<string> = new Set([
  'host',
  'logLevel',
  'part',
  'request',
]);

/** One line about a request. */
export interface RequestLine {
  /** The host: as the line says, or what stood before it, or its file. */
  readonly source: string;
  /** Milliseconds since 1970, by the clock of its host. */
  readonly time: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Gives the lines of a text that are about a request, or about an attempt that
 * resumes it, in their order. Lines of another request name it in `request`.
 *
 * @param name The id of the request, or the name of its content, which is the
 *   same for each try of its caller.
 */
export function parseRequestLines(
  text: string,
  name: string,
  file: string,
): RequestLine[] {
  const lines: RequestLine[] = [];
  for (const row of text.split('\n')) {
    // Most lines are about other requests and need not be read.
    if (!row.includes(name)) continue;
    const found = parseLine(row, file);
    if (found === undefined) continue;
    const {request, content, resumes} = found.context;
    if (![request, content, resumes].includes(name)) continue;
    const line = createRequestLine(found);
    const isOther = resumes === name && request !== name;
    const fields = isOther ? {request, ...line.fields} : line.fields;
    lines.push({...line, fields});
  }
  return lines;
}

/** Gives the lines of a text that are about any request, in their order. */
export function parseAllRequestLines(
  text: string,
  file: string,
): (RequestLine & {readonly request: string})[] {
  const lines: (RequestLine & {readonly request: string})[] = [];
  for (const line of text.split('\n')) {
    const found = parseLine(line, file);
    const request = found?.context['request'];
    if (found === undefined || typeof request !== 'string') continue;
    lines.push({...createRequestLine(found), request});
  }
  return lines;
}

function createRequestLine(found: ParsedLine): RequestLine {
  const {source, time, message, context} = found;
  const fields = Object.fromEntries(
    Object.entries(context).filter(([name]) => !PLUMBING.has(name)),
  );
  return {source, time, message, fields};
}

type ParsedLine = z.infer<typeof LINE_SCHEMA> & {readonly source: string};

function parseLine(line: string, file: string): ParsedLine | undefined {
  const start = line.indexOf('{');
  if (start === -1) return undefined;
  try {
    const parsed = LINE_SCHEMA.safeParse(JSON.parse(line.slice(start)));
    if (!parsed.success) return undefined;
    const prefix = line.slice(0, start).trim();
    const {host} = parsed.data.context;
    const fallback = prefix === '' ? file : prefix;
    const source = typeof host === 'string' ? host : fallback;
    return {...parsed.data, source};
  } catch {
    // A line that was cut, or one of another program.
    return undefined;
  }
}
