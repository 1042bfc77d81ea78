/**
 * What control costs a host as hosts, endpoints, teams and changes grow:
 * slopes, not one point. No caller sends anything meanwhile.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createDeployment,
  sendHttp,
  type Deployment,
  type DeploymentOptions,
} from '@irisdock/testkit';
import {createBench, type ResultRow} from '../bench.js';
import {computeLine, formatNumber} from '../statistics.js';
import {getCpuMs, getLoopbackBytes, getMemoryBytes} from '../usage.js';

const WINDOW_MS = 6000;
const SETTLE_MS = 3000;
const HOSTS = [4, 8, 16, 32];
const ENDPOINTS = [1, 33, 129];
const CHANGES_PER_SECOND = [0, 10, 20];
const TEAMS = [0, 1000, 2000];

interface Usage {
  /** Processor time of a host, in ms a second. */
  readonly cpuMs: number;
  /** Bytes a second that a host sends and receives, half of each counted. */
  readonly bytes: number;
  readonly memoryMiB: number;
}

async function measureHosts(deployment: Deployment): Promise<Usage> {
  const pids = deployment.daemons.map((daemon) => daemon.process.pid);
  const sumCpu = (): number =>
    pids.reduce((sum, pid) => sum + getCpuMs(pid), 0);
  const cpuBefore = sumCpu();
  const bytesBefore = getLoopbackBytes();
  await sleep(WINDOW_MS);
  const seconds = WINDOW_MS / 1000;
  const memory = pids.reduce((sum, pid) => sum + getMemoryBytes(pid), 0);
  return {
    cpuMs: (sumCpu() - cpuBefore) / pids.length / seconds,
    bytes: (getLoopbackBytes() - bytesBefore) / pids.length / seconds,
    memoryMiB: memory / pids.length / 2 ** 20,
  };
}

function createRow(what: string, count: number, usage: Usage): ResultRow {
  return {
    what,
    count,
    cpuMsPerSecond: formatNumber(usage.cpuMs),
    kBytesPerSecond: formatNumber(usage.bytes / 1000),
    memoryMiB: formatNumber(usage.memoryMiB, 1),
  };
}

async function runDeployment<T>(
  options: DeploymentOptions,
  run: (deployment: Deployment) => Promise<T>,
): Promise<T> {
  const deployment = await createDeployment(options);
  try {
    await sleep(SETTLE_MS);
    return await run(deployment);
  } finally {
    await deployment.stop();
  }
}

async function measureGrowth(
  what: string,
  counts: readonly number[],
  getOptions: (count: number) => DeploymentOptions,
): Promise<[ResultRow[], string]> {
  const rows: ResultRow[] = [];
  const points: {count: number; usage: Usage}[] = [];
  for (const count of counts) {
    const usage = await runDeployment(getOptions(count), measureHosts);
    rows.push(createRow(what, count, usage));
    points.push({count, usage});
  }
  return [rows, formatSlope(what, points)];
}

function formatSlope(
  what: string,
  points: readonly {count: number; usage: Usage}[],
): string {
  const fit = (pick: (usage: Usage) => number): string => {
    const line = computeLine(points.map((p) => [p.count, pick(p.usage)]));
    return `${formatNumber(line.base, 2)} + ${formatNumber(line.slope, 4)} x`;
  };
  const cpu = fit((usage) => usage.cpuMs);
  const bytes = fit((usage) => usage.bytes / 1000);
  const memory = fit((usage) => usage.memoryMiB);
  return `${what}: cpu ${cpu} ms/s; ${bytes} kB/s; memory ${memory} MiB`;
}

async function measureChanges(): Promise<[ResultRow[], string]> {
  return runDeployment({daemons: 8, engines: 1}, async (deployment) => {
    const rows: ResultRow[] = [];
    const points: {count: number; usage: Usage}[] = [];
    for (const rate of CHANGES_PER_SECOND) {
      const controller = new AbortController();
      const changes = sendChanges(deployment, rate, controller.signal);
      const usage = await measureHosts(deployment);
      controller.abort();
      await changes;
      rows.push(createRow('changes/s, 8 hosts', rate, usage));
      points.push({count: rate, usage});
    }
    return [rows, formatSlope('changes/s, 8 hosts', points)];
  });
}

async function sendChanges(
  deployment: Deployment,
  rate: number,
  signal: AbortSignal,
): Promise<void> {
  const sent: Promise<unknown>[] = [];
  for (let at = 0; rate > 0 && !signal.aborted; at++) {
    sent.push(putTeam(deployment, at % 8, `team-${at % 100}`, 1 + (at % 9)));
    await sleep(1000 / rate);
  }
  await Promise.all(sent);
}

async function putTeam(
  deployment: Deployment,
  host: number,
  name: string,
  weight: number,
): Promise<void> {
  const {operator} = deployment.getDaemon(host).places;
  const url = `http://${operator}/v1/resources/team/${name}`;
  await sendHttp(url, {method: 'PUT', body: JSON.stringify({spec: {weight}})});
}

async function measureTeams(): Promise<[ResultRow[], string]> {
  const options: DeploymentOptions = {
    daemons: 1,
    engines: 1,
    platformArgs: ['--platform-writes-per-second', '5000'],
    daemonArgs: ['--configuration-max-log', '10'],
  };
  return runDeployment(options, async (deployment) => {
    const rows: ResultRow[] = [];
    const points: {count: number; usage: Usage}[] = [];
    let made = 0;
    for (const count of TEAMS) {
      for (; made < count; made++) {
        await putTeam(deployment, 0, `team-${made}`, 1);
      }
      await sleep(SETTLE_MS);
      const usage = await measureHosts(deployment);
      rows.push(createRow('teams', count, usage));
      points.push({count, usage});
    }
    return [rows, formatSlope('teams', points)];
  });
}

const PARTS: Readonly<Record<string, () => Promise<[ResultRow[], string]>>> = {
  hosts: () =>
    measureGrowth('hosts', HOSTS, (daemons) => ({daemons, engines: 1})),
  endpoints: () =>
    measureGrowth('endpoints', ENDPOINTS, (count) => ({
      daemons: 1,
      engines: 1,
      manyEngines: count - 1,
      daemonArgs: ['--endpoints-subset-size', '1000'],
    })),
  changes: measureChanges,
  teams: measureTeams,
};

/** The measurement. */
export const CONTROL_BENCH = createBench({
  name: 'control',
  description: 'what control costs a host as the deployment grows',
  async run(printRow, words) {
    const rows: ResultRow[] = [];
    const notes: string[] = [];
    for (const [name, measure] of Object.entries(PARTS)) {
      if (words.length > 0 && !words.includes(name)) continue;
      const [more, note] = await measure();
      rows.push(...more);
      notes.push(note);
      for (const row of more) printRow(row);
    }
    return {
      rows,
      notes: [
        ...notes,
        'bytes are those of loopback over the number of hosts: what a host sends and what it receives, with TCP/IP headers; calls to platform and endpoints are in them',
        'processor time is counted in steps of 10 ms',
      ],
    };
  },
});
