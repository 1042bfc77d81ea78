/** `irisdock crashes`: requests under which endpoints ended. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';

const COLUMNS = ['CONTENT', 'VERDICT', 'LAST', 'ENDPOINTS'];
const WORDS = z.union(
  [z.tuple([]), z.tuple([z.literal('remove'), z.string().min(1)])],
  'give no words, or remove and a content',
);

/** The command. */
export const CRASHES_COMMAND = createCommand({
  name: 'crashes',
  usage: '[remove <content>]',
  description:
    'Lists the contents under which endpoints ended, or takes one off.',
  options: [],
  schema: z.object({words: WORDS, options: z.object({})}),
  async run({client, output}, {words}) {
    const [, content] = words;
    if (content !== undefined) {
      const removed = await client.deleteCrashes(content);
      if (removed.isErr()) return err(removed.error);
      output.print(removed.value, ['REMOVED'], [[removed.value.content]]);
      return ok();
    }
    const list = await client.listCrashes();
    if (list.isErr()) return err(list.error);
    const rows = list.value.contents.map((one) => [
      one.content,
      one.verdict,
      `${one.lastSecondsAgo} s ago`,
      one.endpoints.join(' '),
    ]);
    output.print(list.value, COLUMNS, rows);
    return ok();
  },
});
