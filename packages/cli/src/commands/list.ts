/** `irisdock list`: all resources of a kind. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {KIND_SCHEMA} from '../argument_schemas.js';
import {createCommand} from '../command.js';

/** The command. */
export const LIST_COMMAND = createCommand({
  name: 'list',
  usage: '<kind>',
  description: 'Lists the resources of a kind.',
  options: [],
  schema: z.object({
    words: z.tuple([KIND_SCHEMA], 'give one kind'),
    options: z.object({}),
  }),
  async run({client, output}, {words: [kind]}) {
    const list = await client.listResources(kind);
    if (list.isErr()) return err(list.error);
    const rows = list.value.map((resource) => [
      kind,
      resource.name,
      resource.version,
    ]);
    output.print(list.value, ['KIND', 'NAME', 'VERSION'], rows);
    return ok();
  },
});
