/** `irisdock explain`: what the logs of all hosts say of one request. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';
import {CLI_ERRORS} from '../errors.js';
import {parseRequestLines, type RequestLine} from '../log_lines.js';

/** The command. */
export const EXPLAIN_COMMAND = createCommand({
  name: 'explain',
  usage: '<request-id | content> [-f <log> ...]',
  description:
    'Gathers the log lines of one request and of attempts that resume it, or of one content, over all hosts.',
  options: [
    {
      flag: 'file',
      short: 'f',
      description: 'A log, one for each host; - for standard input, if none.',
    },
  ],
  schema: z.object({
    words: z.tuple([z.string().min(1)], 'give one request id'),
    options: z.object({file: z.array(z.string()).default(['-'])}),
  }),
  async run(context, {words: [request], options}) {
    const lines: RequestLine[] = [];
    for (const file of options.file) {
      const text = await context.readFile(file);
      if (text.isErr()) return err(text.error);
      lines.push(...parseRequestLines(text.value, request, file));
    }
    if (lines.length === 0) {
      return err(CLI_ERRORS.create('no_lines', {request}));
    }
    lines.sort((a, b) => a.time - b.time);
    const first = lines[0]?.time ?? 0;
    const rows = lines.map(({source, time, message, fields}) => [
      time - first,
      source,
      message,
      formatFields(fields),
    ]);
    context.output.print(lines, ['MS', 'HOST', 'WHAT', 'WITH'], rows);
    return ok();
  },
});

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
