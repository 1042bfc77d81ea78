/** `irisdock tasks`: tasks that one host of a deployment performs. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';

const COLUMNS = ['TASK', 'HOLDER', 'FENCE', 'AGE', 'HERE', 'CANDIDATES'];
const WORDS = z.tuple([], 'give no words');
const ABSENT = '-';

/** The command. */
export const TASKS_COMMAND = createCommand({
  name: 'tasks',
  usage: '',
  description: 'Lists the tasks that one host performs, and which host.',
  options: [],
  schema: z.object({words: WORDS, options: z.object({})}),
  async run({client, output}) {
    const list = await client.listTasks();
    if (list.isErr()) return err(list.error);
    const rows = list.value.tasks.map((one) => [
      one.task,
      one.holder ?? ABSENT,
      String(one.fence),
      one.ageSeconds === null ? ABSENT : `${one.ageSeconds} s ago`,
      one.isHolder ? 'yes' : 'no',
      one.candidates.join(','),
    ]);
    output.print(list.value, COLUMNS, rows);
    return ok();
  },
});
