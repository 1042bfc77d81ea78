/** `irisdock delete`: takes a resource out. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {COUNT_SCHEMA, KIND_SCHEMA} from '../argument_schemas.js';
import {createCommand} from '../command.js';

/** The command. */
export const DELETE_COMMAND = createCommand({
  name: 'delete',
  usage: '<kind> <name>',
  description: 'Deletes one resource that nothing refers to.',
  options: [
    {
      flag: 'version',
      description: 'Only when the resource is at this version.',
    },
  ],
  schema: z.object({
    words: z.tuple([KIND_SCHEMA, z.string()], 'give a kind and a name'),
    options: z.object({version: COUNT_SCHEMA.optional()}),
  }),
  async run({client, output}, {words: [kind, name], options}) {
    const change = await client.deleteResource(kind, name, options.version);
    if (change.isErr()) return err(change.error);
    output.printLine(change.value, `${kind}/${name} deleted`);
    return ok();
  },
});
