/** `irisdock streams`: what the logs of all hosts say of all streams. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';
import {CLI_ERRORS} from '../errors.js';
import {parseAllRequestLines} from '../log_lines.js';
import {
  computeStreamSummary,
  listQuantileNames,
  type NamedLine,
  type QuantileRow,
  type StreamSummary,
} from '../stream_summary.js';

/** The command. */
export const STREAMS_COMMAND = createCommand({
  name: 'streams',
  usage: '[-f <log> ...]',
  description: 'Sums up how long streams took and why attempts were lost.',
  options: [
    {
      flag: 'file',
      short: 'f',
      description: 'A log, one for each host; - for standard input, if none.',
    },
  ],
  schema: z.object({
    words: z.tuple([], 'it takes no words'),
    options: z.object({file: z.array(z.string()).default(['-'])}),
  }),
  async run(context, {options}) {
    const lines: NamedLine[] = [];
    for (const file of options.file) {
      const text = await context.readFile(file);
      if (text.isErr()) return err(text.error);
      lines.push(...parseAllRequestLines(text.value, file));
    }
    lines.sort((a, b) => a.time - b.time);
    const summary = computeStreamSummary(lines);
    if (summary.sent === 0) return err(CLI_ERRORS.create('no_streams', {}));
    const names = ['WHAT', 'COUNT', ...listQuantileNames()];
    context.output.print(summary, names, listRows(summary));
    return ok();
  },
});

function listRows(summary: StreamSummary): (number | string)[][] {
  const {sent, answered, resumed, losses} = summary;
  return [
    ['sent', sent],
    ['answered', answered],
    ['came again', resumed],
    ['ms in flight', answered, ...formatRow(summary.inFlightMs)],
    ['ms to the first event', answered, ...formatRow(summary.firstEventMs)],
    ['ms of the longest pause', answered, ...formatRow(summary.longestPauseMs)],
    ...losses.map(([reason, count]) => [reason, count]),
  ];
}

function formatRow(row: QuantileRow): string[] {
  return row.map((value) => (value === undefined ? '-' : String(value)));
}
