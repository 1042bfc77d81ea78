/** `irisdock get`: one resource. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {KIND_SCHEMA} from '../argument_schemas.js';
import {CLI_ERRORS} from '../errors.js';
import {createCommand} from '../command.js';

/** The command. */
export const GET_COMMAND = createCommand({
  name: 'get',
  usage: '<kind> <name>',
  description: 'Shows one resource with its version and spec.',
  options: [],
  schema: z.object({
    words: z.tuple([KIND_SCHEMA, z.string()], 'give a kind and a name'),
    options: z.object({}),
  }),
  async run({client, output}, {words: [kind, name]}) {
    const found = await client.getResource(kind, name);
    if (found.isErr()) return err(found.error);
    const resource = found.value;
    if (resource === undefined) {
      return err(CLI_ERRORS.create('absent', {kind, name}));
    }
    const spec = JSON.stringify(resource.spec);
    const row = [kind, name, resource.version, spec];
    output.print(resource, ['KIND', 'NAME', 'VERSION', 'SPEC'], [row]);
    return ok();
  },
});
