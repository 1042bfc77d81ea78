/** `irisdock audit`: who changed what. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {COUNT_SCHEMA} from '../argument_schemas.js';
import {createCommand} from '../command.js';

const DEFAULT_LIMIT = 100;

/** The command. */
export const AUDIT_COMMAND = createCommand({
  name: 'audit',
  usage: '',
  description: 'Lists accepted changes: who, what, when, from and to which.',
  options: [
    {flag: 'after', description: 'Begin after this revision; 0 is the first.'},
    {flag: 'limit', description: 'At most so many changes; 100 by default.'},
  ],
  schema: z.object({
    words: z.tuple([], 'give no words'),
    options: z.object({
      after: COUNT_SCHEMA.default(0),
      limit: COUNT_SCHEMA.default(DEFAULT_LIMIT),
    }),
  }),
  async run({client, output}, {options}) {
    const changes = await client.listAudit(options.after, options.limit);
    if (changes.isErr()) return err(changes.error);
    const rows = changes.value.map((change) => [
      change.revision,
      new Date(change.at).toISOString(),
      change.actor,
      change.action,
      `${change.kind}/${change.name}`,
      change.fromVersion,
      change.toVersion,
    ]);
    const columns = ['REVISION', 'AT', 'WHO', 'DID', 'WHAT', 'FROM', 'TO'];
    output.print(changes.value, columns, rows);
    return ok();
  },
});
