/** `irisdock limits`: endpoints that name how much they take. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';

const COLUMNS = [
  'ENDPOINT',
  'SERVICE',
  'PER-SECOND',
  'SINCE',
  'TOLD-BY',
  'ISSUER',
  'GIVEN',
  'HELD',
];
const WORDS = z.tuple([], 'give no words');
const ABSENT = '-';

/** The command. */
export const LIMITS_COMMAND = createCommand({
  name: 'limits',
  usage: '',
  description: 'Lists the limits on requests that endpoints name.',
  options: [],
  schema: z.object({words: WORDS, options: z.object({})}),
  async run({client, output}) {
    const list = await client.listLimits();
    if (list.isErr()) return err(list.error);
    const rows = list.value.limits.map((one) => [
      one.endpoint,
      one.service ?? ABSENT,
      String(one.perSecond),
      `${one.sinceSeconds} s ago`,
      one.source,
      one.issuer ?? ABSENT,
      String(one.given),
      String(one.held),
    ]);
    output.print(list.value, COLUMNS, rows);
    return ok();
  },
});
