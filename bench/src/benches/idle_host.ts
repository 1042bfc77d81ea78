/**
 * What a host of the gateway costs at rest beside many others: processor time,
 * wakes, memory, and what it sends, by the number of hosts.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {StoreStandin} from '@irisdock/users-platform/fixtures';
import {createBench, type ResultRow} from '../bench.js';
import {
  countWakes,
  DEPLOYED_FLAGS,
  DEPLOYED_PROGRAM,
  findPlaces,
  formatHostSettings,
} from '../deployed_host.js';
import {StandinHosts} from '../standin_hosts.js';
import {formatNumber} from '../statistics.js';
import {getCpuMs, getMemoryBytes} from '../usage.js';

const SIZES = [9, 30, 100, 195, 350];
const SETTLE_MS = 4000;
const MEASURE_MS = 10_000;
const MIBI = 2 ** 20;

async function measure(
  child: ChildProcess,
  others: StandinHosts,
  hosts: number,
): Promise<ResultRow> {
  const pid = child.pid ?? 0;
  await sleep(SETTLE_MS);
  const cpuMs = getCpuMs(pid);
  const wakes = countWakes(pid);
  const {received, receivedBytes} = others.count;
  await sleep(MEASURE_MS);
  const seconds = MEASURE_MS / 1000;
  const sentBytes = others.count.receivedBytes - receivedBytes;
  return {
    hosts,
    'processor ms/s': formatNumber((getCpuMs(pid) - cpuMs) / seconds),
    'wakes/s': formatNumber((countWakes(pid) - wakes) / seconds),
    'datagrams sent/s': formatNumber(
      (others.count.received - received) / seconds,
    ),
    'bytes sent/s': formatNumber(sentBytes / seconds),
    'resident MiB': formatNumber(getMemoryBytes(pid) / MIBI),
  };
}

async function runSize(hosts: number): Promise<ResultRow> {
  const places = await findPlaces();
  const store = new StoreStandin();
  const door = await store.startListener();
  const others = new StandinHosts(places.datagrams);
  const seed = await others.start(hosts - 1);
  const folder = mkdtempSync(join(tmpdir(), 'irisdock-idle-'));
  const file = join(folder, 'settings.toml');
  writeFileSync(file, formatHostSettings(places, door.address, seed));
  const child = spawn(process.execPath, [...DEPLOYED_FLAGS, DEPLOYED_PROGRAM], {
    stdio: 'ignore',
    env: {...process.env, IRISDOCK_SETTINGS: file},
  });
  try {
    return await measure(child, others, hosts);
  } finally {
    child.kill('SIGKILL');
    others.stop();
    store.stop();
    rmSync(folder, {recursive: true});
  }
}

/** The measurement. */
export const IDLE_HOST_BENCH = createBench({
  name: 'idle-host',
  description: 'cost of one gateway host at rest beside 8 to 349 others',
  async run(printRow) {
    const rows: ResultRow[] = [];
    for (const hosts of SIZES) {
      const row = await runSize(hosts);
      printRow(row);
      rows.push(row);
    }
    return {
      rows,
      notes: [
        `${MEASURE_MS} ms each, one run; the store holds no rows`,
        'processor time by the operating system, in steps of 10 ms',
      ],
    };
  },
});
