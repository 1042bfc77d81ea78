/**
 * What a host of the gateway costs under load: processor time, system calls'
 * waits and memory for a start, a second at rest, a plain call and a stream,
 * beside stand-ins of 59 other hosts and 280 endpoints.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace} from '@irisdock/kernel';
import {
  CopyRegistry,
  createCallScript,
  createCallerHeaders,
  createEntry,
  createSoakConfiguration,
  createStreamScript,
  HOST_NAME,
  putConfiguration,
  putEntry,
  ServerStandin,
  SOAK_KEY,
  SOAK_PATHS,
  SOAK_SERVICES,
  StoreStandin,
  type Script,
  type ScriptContext,
} from '@irisdock/users-platform/fixtures';
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

const OTHER_HOSTS = 59;
const ENGINES = 280;
const CALL_ENDPOINTS = 4;
const DOMAINS = 4;
/** A host's share of the load: calls and streams that begin, a second. */
const CALLS_PER_S = 3.2;
const STREAMS_PER_S = 0.75;
/** A stream as its engine makes it: six tokens an event. */
const STREAM_SHAPE = {events: 130, stepMs: 30} as const;
const CALL_MS = 30;
const BODY = 'x'.repeat(40);
const PROMPT_TOKENS = 5200;
/** How long each kind of load is measured. */
const PHASE_MS = 15_000;
/** The streams that are under way end in that time. */
const TAIL_MS = 5000;
const START_MS = 4000;
const MIBI = 2 ** 20;
const MILLI = 1000;
const RUN_CALLER_MS = 20_000;

/** The endpoints and the store around the host. */
class HostCostDeployment {
  readonly store = new StoreStandin();
  private readonly servers: ServerStandin[] = [];

  async start(): Promise<string> {
    const door = await this.store.startListener();
    putConfiguration(this.store, createSoakConfiguration(1));
    const copies = new CopyRegistry();
    for (let at = 0; at < ENGINES; at++) {
      await this.addServer(SOAK_SERVICES.streams, at, copies, (parts) =>
        createStreamScript(parts, STREAM_SHAPE),
      );
    }
    for (let at = 0; at < CALL_ENDPOINTS; at++) {
      await this.addServer(SOAK_SERVICES.calls, at, copies, (parts) =>
        createCallScript(parts, CALL_MS),
      );
    }
    return door.address;
  }

  stop(): void {
    for (const server of this.servers) server.stop();
    this.store.stop();
  }

  private async addServer(
    service: string,
    at: number,
    copies: CopyRegistry,
    createScript: (parts: ScriptContext) => Script,
  ): Promise<void> {
    let address = '';
    const script = createScript({
      getAddress: () => address,
      copies,
      recordRun: () => undefined,
    });
    const server = new ServerStandin(script);
    address = await server.start();
    this.servers.push(server);
    const entry = createEntry(service, address, `domain-${at % DOMAINS}`);
    putEntry(this.store, `${service}-${at}`, entry);
  }
}

/** Sends requests at a steady rate for a while; gives how many were whole. */
class SteadyCallers {
  private readonly agent = new Agent({keepAlive: true, timeout: 3000});
  private count = 0;

  constructor(private readonly place: string) {}

  async run(
    perSecond: number,
    path: string,
    isStream: boolean,
  ): Promise<LoadResult> {
    const sent: Promise<boolean>[] = [];
    const total = Math.round((perSecond * PHASE_MS) / MILLI);
    for (let at = 0; at < total; at++) {
      sent.push(this.send(path, isStream));
      await sleep(MILLI / perSecond);
    }
    const answers = await Promise.all(sent);
    return {total, whole: answers.filter(Boolean).length};
  }

  close(): void {
    this.agent.destroy();
  }

  private async send(path: string, isStream: boolean): Promise<boolean> {
    this.count++;
    const headers = createCallerHeaders({
      hostName: HOST_NAME,
      attemptId: this.count.toString(16),
      key: SOAK_KEY,
      remainingMs: RUN_CALLER_MS,
      ...(isStream ? {promptTokens: PROMPT_TOKENS} : {}),
    });
    return new Promise((resolve) => {
      const {host, port} = splitPlace(this.place);
      const message = request(
        {host, port, path, method: 'POST', headers, agent: this.agent},
        (answer) => {
          answer.on('data', () => undefined);
          answer.on('close', () => {
            resolve(answer.statusCode === 200 && answer.complete);
          });
        },
      );
      message.on('error', () => {
        resolve(false);
      });
      message.end(BODY);
    });
  }
}

/** What one kind of load did. */
interface LoadResult {
  readonly total: number;
  readonly whole: number;
}

/** Measures a host's process while loads run, one after another. */
class PhaseMeter {
  readonly rows: ResultRow[] = [];
  private restMsPerS = 0;

  constructor(
    private readonly pid: number,
    private readonly printRow: (row: ResultRow) => void,
  ) {}

  /** Lets nothing be asked of the host; what follows is told beyond this. */
  async measureRest(): Promise<void> {
    this.restMsPerS = await this.measure('rest', () => pause(PHASE_MS));
  }

  /** Runs a load; gives the processor time of a second, in ms. */
  async measure(
    phase: string,
    run: () => Promise<LoadResult>,
  ): Promise<number> {
    const {pid} = this;
    const startedAt = performance.now();
    const cpuMs = getCpuMs(pid);
    const wakes = countWakes(pid);
    const {total, whole} = await run();
    const seconds = (performance.now() - startedAt) / MILLI;
    const spentMs = getCpuMs(pid) - cpuMs;
    const loadMs = spentMs - this.restMsPerS * seconds;
    const row: ResultRow = {
      phase,
      'processor ms/s': formatNumber(spentMs / seconds),
      'wakes/s': formatNumber((countWakes(pid) - wakes) / seconds),
      requests: total,
      whole,
      'ms a request': total === 0 ? '' : formatNumber(loadMs / total),
      'resident MiB': formatNumber(getMemoryBytes(pid) / MIBI),
    };
    this.printRow(row);
    this.rows.push(row);
    return spentMs / seconds;
  }
}

async function pause(ms: number): Promise<LoadResult> {
  await sleep(ms);
  return {total: 0, whole: 0};
}

async function measurePhases(
  pid: number,
  front: string,
  printRow: (row: ResultRow) => void,
): Promise<readonly ResultRow[]> {
  const meter = new PhaseMeter(pid, printRow);
  const callers = new SteadyCallers(front);
  await meter.measure('start', () => pause(START_MS));
  await meter.measureRest();
  for (const phase of ['streams', 'streams again']) {
    await meter.measure(phase, async () => {
      const result = await callers.run(STREAMS_PER_S, SOAK_PATHS.stream, true);
      await sleep(TAIL_MS);
      return result;
    });
  }
  for (const phase of ['calls', 'calls again']) {
    await meter.measure(phase, () =>
      callers.run(CALLS_PER_S, SOAK_PATHS.repeatable, false),
    );
  }
  callers.close();
  return meter.rows;
}

/** The measurement. */
export const HOST_COST_BENCH = createBench({
  name: 'host-cost',
  description: 'cost of a start, of rest, of calls and of streams at one host',
  async run(printRow, [profileFolder]) {
    const deployment = new HostCostDeployment();
    const storeAddress = await deployment.start();
    const places = await findPlaces();
    const others = new StandinHosts(places.datagrams);
    const seed = await others.start(OTHER_HOSTS);
    const folder = mkdtempSync(join(tmpdir(), 'irisdock-cost-'));
    const file = join(folder, 'settings.toml');
    writeFileSync(file, formatHostSettings(places, storeAddress, seed));
    const profiling =
      profileFolder === undefined
        ? []
        : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
    const child = spawn(
      process.execPath,
      [...DEPLOYED_FLAGS, ...profiling, DEPLOYED_PROGRAM],
      {stdio: 'ignore', env: {...process.env, IRISDOCK_SETTINGS: file}},
    );
    try {
      const rows = await measurePhases(child.pid ?? 0, places.front, printRow);
      return {
        rows,
        notes: [
          `${ENGINES} engines, ${OTHER_HOSTS} other hosts that answer questions`,
          `a stream is ${STREAM_SHAPE.events} events, ${STREAM_SHAPE.stepMs} ms apart`,
          'a request costs what the phase took beyond rest, by its requests',
          'processor time by the operating system, in steps of 10 ms; one run',
        ],
      };
    } finally {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill(profileFolder === undefined ? 'SIGKILL' : 'SIGTERM');
      await ended;
      others.stop();
      deployment.stop();
      rmSync(folder, {recursive: true});
    }
  },
});
