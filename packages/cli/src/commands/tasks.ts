/**
 * `irisdock tasks`: tasks that one host of a deployment performs, and what their
 * holder has done. Only the holder shows windows and orders.
 */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {createCommand} from '../command.js';
import type {Row, Table} from '../output.js';
import type {TaskEntry} from '../task_list.js';

const TASK_COLUMNS = ['TASK', 'HOLDER', 'FENCE', 'AGE', 'HERE', 'CANDIDATES'];
const WINDOW_COLUMNS = ['WINDOW', 'ENDED', 'REPORT'];
const ORDER_COLUMNS = ['SERVICE', 'DOMAIN', 'KIND', 'COUNT', 'ACCEPTED'];
const WORDS = z.tuple([], 'give no words');
const ABSENT = '-';

/** The command. */
export const TASKS_COMMAND = createCommand({
  name: 'tasks',
  usage: '',
  description:
    'Lists the tasks that one host performs, which host, and what it did last.',
  options: [],
  schema: z.object({words: WORDS, options: z.object({})}),
  async run({client, output}) {
    const list = await client.listTasks();
    if (list.isErr()) return err(list.error);
    const {tasks} = list.value;
    const [windows, orders] = [listWindows(tasks), listOrders(tasks)];
    const tables: Table[] = [{columns: TASK_COLUMNS, rows: listTasks(tasks)}];
    if (windows.length > 0) {
      tables.push({columns: WINDOW_COLUMNS, rows: windows});
    }
    if (orders.length > 0) tables.push({columns: ORDER_COLUMNS, rows: orders});
    output.printTables(list.value, tables);
    return ok();
  },
});

function listTasks(tasks: readonly TaskEntry[]): Row[] {
  return tasks.map((one) => [
    one.task,
    one.holder ?? ABSENT,
    String(one.fence),
    formatAge(one.ageSeconds),
    one.isHolder ? 'yes' : 'no',
    one.candidates.join(','),
  ]);
}

function listWindows(tasks: readonly TaskEntry[]): Row[] {
  const windows = tasks.flatMap((task) => task.windows);
  return windows.map(({window, endedSecondsAgo, result}) => [
    String(window),
    formatAge(endedSecondsAgo),
    result,
  ]);
}

function listOrders(tasks: readonly TaskEntry[]): Row[] {
  const orders = tasks.flatMap((task) => task.orders);
  return orders.map((order) => [
    order.service,
    order.failureDomain,
    order.kind,
    String(order.count),
    formatAcceptance(order),
  ]);
}

/** The time is not known of an order that an earlier holder gave. */
function formatAcceptance({
  isAccepted,
  acceptedSecondsAgo,
}: TaskEntry['orders'][number]): string {
  if (!isAccepted) return 'not yet';
  return acceptedSecondsAgo === null
    ? 'earlier'
    : formatAge(acceptedSecondsAgo);
}

function formatAge(seconds: number | null): string {
  return seconds === null ? ABSENT : `${seconds} s ago`;
}
