/**
 * What the logs of hosts say of all streams together: how long they took, and
 * why attempts ended early. How long a stream is in flight decides what
 * each fault costs, as the streams of that time are hit.
 */
import type {RequestLine} from './log_lines.js';

/** A line that names its request. */
export type NamedLine = RequestLine & {readonly request: string};

/** Quantiles that are told, from 0 to 1. */
const QUANTILES = [0.1, 0.25, 0.5, 0.75, 0.9] as const;
const PERCENT = 100;

/** Figures of one kind at the quantiles. */
export type QuantileRow = readonly (number | undefined)[];

/** The summary. */
export interface StreamSummary {
  /** Streams that were sent to an engine. */
  readonly sent: number;
  /** Streams that their callers got to the end. */
  readonly answered: number;
  /** Streams of callers that came again with an event that they had. */
  readonly resumed: number;
  /** From request to end, in ms. */
  readonly inFlightMs: QuantileRow;
  /** From request to first event, in ms. */
  readonly firstEventMs: QuantileRow;
  /** The longest pause between events of each stream, in ms. */
  readonly longestPauseMs: QuantileRow;
  /** Attempts that ended early, by reason, the most frequent first. */
  readonly losses: readonly (readonly [reason: string, count: number])[];
}

/** Names the quantiles as columns. */
export function listQuantileNames(): string[] {
  return QUANTILES.map((part) => `${part * PERCENT} in ${PERCENT}`);
}

/** Computes the summary from the lines of all hosts, the oldest first. */
export function computeStreamSummary(
  lines: readonly NamedLine[],
): StreamSummary {
  const sent = new Set<string>();
  const resumed = new Set<string>();
  const losses = new Map<string, number>();
  const ends: NamedLine[] = [];
  for (const line of lines) {
    const {message, request, fields} = line;
    if (message.endsWith('A stream is sent to an engine.')) {
      const isFirst = !sent.has(request);
      sent.add(request);
      if (isFirst && fields['lastEventId'] !== undefined) resumed.add(request);
    }
    if (message.endsWith('A stream attempt ended early.')) {
      const reason = formatReason(fields);
      losses.set(reason, (losses.get(reason) ?? 0) + 1);
    }
    if (message.endsWith('A request ended.')) ends.push(line);
  }
  const answered = ends.filter(
    ({request, fields}) =>
      sent.has(request) && fields['outcome'] === 'answered',
  );
  return {
    sent: sent.size,
    answered: answered.length,
    resumed: resumed.size,
    inFlightMs: computeQuantiles(answered, 'ms'),
    firstEventMs: computeQuantiles(answered, 'firstEventMs'),
    longestPauseMs: computeQuantiles(answered, 'longestPauseMs'),
    losses: [...losses].sort((a, b) => b[1] - a[1]),
  };
}

/** An address differs from engine to engine and says nothing of the reason. */
const ADDRESS = /\s*\d+\.\d+\.\d+\.\d+:\d+/u;

function formatReason(fields: RequestLine['fields']): string {
  const detail = String(fields['detail']).replace(ADDRESS, '');
  const when =
    fields['lastEventId'] === undefined ? 'before its first event' : 'begun';
  return `${String(fields['result'])}, ${when}: ${detail}`;
}

function computeQuantiles(
  lines: readonly NamedLine[],
  name: string,
): QuantileRow {
  const values = lines
    .map(({fields}) => fields[name])
    .filter((value) => typeof value === 'number');
  values.sort((a, b) => a - b);
  return QUANTILES.map((part) => values[Math.floor(part * values.length)]);
}
