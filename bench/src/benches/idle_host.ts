/**
 * What a host of the gateway costs at rest beside many others: processor time,
 * wakes, memory, and what it sends, by the number of hosts.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {StoreStandin} from '@irisdock/users-platform/fixtures';
import {createBench, type ResultRow} from '../bench.js';
import {StandinHosts} from '../standin_hosts.js';
import {formatNumber} from '../statistics.js';
import {getCpuMs, getMemoryBytes} from '../usage.js';

const PROGRAM = fileURLToPath(
  new URL('../../../../target/irisdock-gateway.mjs', import.meta.url),
);
/** As the program is deployed. */
const FLAGS = [
  '--max-old-space-size=120',
  '--max-semi-space-size=2',
  '--no-memory-reducer',
];
const SIZES = [9, 30, 100, 195, 350];
const SETTLE_MS = 4000;
const MEASURE_MS = 10_000;
const PORTS = 6;
const MIBI = 2 ** 20;

/** Finds free ports of the loopback, as `ip:port`. */
async function findPlaces(): Promise<string[]> {
  const servers = Array.from({length: PORTS}, () => createServer());
  const places: string[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    places.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  for (const server of servers) server.close();
  return places;
}

function formatSettings(
  places: readonly string[],
  store: string,
  seed: string,
): string {
  const [front, directory, readiness, tables, datagrams, metrics] = places;
  return [
    '[host]\nname = "idle-host"\nfailureDomain = "domain-0"',
    `[store]\naddress = "${store}"`,
    '[phase]\ngraceSeconds = 1',
    `[peers]\nlisten = "${datagrams ?? ''}"`,
    `datagramAddress = "${datagrams ?? ''}"`,
    `tableAddress = "${tables ?? ''}"`,
    `callerAddress = "${front ?? ''}"`,
    `seeds = "${seed}"`,
    `[peerTables]\nlisten = "${tables ?? ''}"`,
    `[front]\nlisten = "${front ?? ''}"`,
    `[metrics]\nlisten = "${metrics ?? ''}"`,
    `[directory]\nlisten = "${directory ?? ''}"`,
    `readinessListen = "${readiness ?? ''}"\n`,
  ].join('\n');
}

/** Gives how often a process has given up the processor to wait. */
function countWakes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(text)?.[1] ?? 0);
}

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
  const door = await store.openDoor();
  const others = new StandinHosts(places[4] ?? '');
  const seed = await others.start(hosts - 1);
  const folder = mkdtempSync(join(tmpdir(), 'irisdock-idle-'));
  const file = join(folder, 'settings.toml');
  writeFileSync(file, formatSettings(places, door.address, seed));
  const child = spawn(process.execPath, [...FLAGS, PROGRAM], {
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
