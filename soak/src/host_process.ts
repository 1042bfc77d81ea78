/**
 * One entry host: the gateway's program as a process of its own, with links
 * before its ports that can be harmed, and what became of its lives.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, renameSync, writeFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {splitPlace} from '@irisdock/kernel';
import type {PartitionMode} from '@irisdock/users-platform/fixtures';
import {DatagramLink} from './datagram_link.js';
import {takeFreePorts} from './free_ports.js';
import type {PartitionCommand} from './partition_preload.js';
import {LEASE_MS} from './task_call_witness.js';
import {TcpLink} from './tcp_link.js';
import {DUE_SECONDS, WINDOW_SECONDS} from './usage_witness.js';

/** The bundle that is deployed, from soak/dist/src/. */
export const DEPLOYED_PROGRAM = fileURLToPath(
  new URL('../../../target/irisdock-start.mjs', import.meta.url),
);
/** Loaded before the program, to partition the host from endpoints. */
const PRELOAD = new URL('partition_preload.js', import.meta.url).href;
/** How long a planned stop may take, in seconds. */
export const GRACE_SECONDS = 4;
/** What the platform kills after, in ms from the signal. */
const KILL_AFTER_MS = GRACE_SECONDS * 1000 + 1000;
/** The pause before an ended process is started again, in ms. */
const RESTART_MS = 300;
const PORTS = 6;
/** Retries of a service: a share of its requests, and so many more. */
const MANY_RETRIES = {ratio: 0.8, allowance: 150};
const FEW_RETRIES = {ratio: 0.1, allowance: 2};

/** Processes that run; none outlives the soak, however that ends. */
const RUNNING = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of RUNNING) child.kill('SIGKILL');
});
// A signal would end the soak without 'exit'.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
  process.once(signal, () => {
    process.exit(1);
  });
}

/** How a process ended that the soak did not end. */
export interface UnexpectedExit {
  readonly host: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** What a host needs of the deployment around it. */
export interface HostParts {
  readonly name: string;
  readonly failureDomain: string;
  /** The program that it runs. */
  readonly program: string;
  /** Where its settings file and its log are. */
  readonly directory: string;
  readonly storeAddress: string;
  /** The platform's API, for which hosts do tasks; none if absent. */
  readonly platformApiAddress?: string;
  /** The regions of the failure domains; none if absent. */
  readonly regions?: Readonly<Record<string, string>>;
  /** Whether it may hardly send anything again. */
  readonly hasFewRetries?: boolean;
  /** Gives where some other hosts answer hosts. */
  getSeeds(): readonly string[];
  /** Takes it that a process ended by itself. */
  handleUnexpectedExit(exit: UnexpectedExit): void;
}

/** The host. */
export class HostProcess {
  /** Counts the starts of its process. */
  life = 0;
  readonly storeLink: TcpLink;
  readonly callerLink: TcpLink;
  readonly tableLink: TcpLink;
  datagramLink: DatagramLink | undefined;
  private child: ChildProcess | undefined;
  private isEnding = false;
  private isClosed = false;
  /** Whether the process takes SIGHUP, which ends it while Node starts. */
  private takesReload = false;
  private ports: number[] = [];
  private partition: PartitionCommand = {otherPorts: []};
  private addresses = {store: '', callers: '', tables: '', datagrams: ''};

  constructor(private readonly parts: HostParts) {
    this.storeLink = new TcpLink(() => splitPlace(parts.storeAddress));
    this.callerLink = new TcpLink(() => this.getPort(0));
    this.tableLink = new TcpLink(() => this.getPort(3));
  }

  get name(): string {
    return this.parts.name;
  }

  /** Where callers reach it, through its link. */
  get callerAddress(): string {
    return this.addresses.callers;
  }

  /** Where it listens for callers, without its link. */
  get frontAddress(): string {
    return `127.0.0.1:${this.ports[0] ?? 0}`;
  }

  /** Where callers ask for addresses. */
  get directoryAddress(): string {
    return `127.0.0.1:${this.ports[1] ?? 0}`;
  }

  /** Where it is asked whether it takes callers. */
  get readinessAddress(): string {
    return `127.0.0.1:${this.ports[2] ?? 0}`;
  }

  /** Where other hosts ask for its tables, through its link. */
  get seedAddress(): string {
    return this.addresses.tables;
  }

  /** Where its datagrams come from. */
  get datagramPort(): number {
    return this.ports[4] ?? 0;
  }

  /** Opens its links and starts its process. */
  async start(): Promise<void> {
    this.ports = await takeFreePorts(PORTS);
    this.datagramLink = new DatagramLink(this.datagramPort);
    this.addresses = {
      store: await this.storeLink.start(),
      callers: await this.callerLink.start(),
      tables: await this.tableLink.start(),
      datagrams: await this.datagramLink.start(),
    };
    this.startProcess();
  }

  /** Sends a signal to the process, if there is one. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once; it is started again after a pause. */
  async kill(downMs: number): Promise<void> {
    const {child} = this;
    if (child === undefined || this.isEnding) return;
    this.isEnding = true;
    child.kill('SIGKILL');
    await waitExit(child);
    await sleep(downMs);
    this.startProcess();
  }

  /** Stops the process as the platform does, and starts it again. */
  async stopPlanned(): Promise<void> {
    const {child} = this;
    if (child === undefined || this.isEnding) return;
    this.isEnding = true;
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), KILL_AFTER_MS);
    await waitExit(child);
    clearTimeout(timer);
    await sleep(RESTART_MS);
    this.startProcess();
  }

  /** Partitions the host from all endpoints; undefined ends that. */
  setPartition(
    mode: PartitionMode | undefined,
    otherPorts: readonly number[],
  ): void {
    this.partition = mode === undefined ? {otherPorts} : {mode, otherPorts};
    // Its channel is closed already while it ends; the next process gets it.
    this.child?.send(this.partition, () => undefined);
  }

  /** Lists the ports of the host, its links and the platform's API. */
  listOwnPorts(): number[] {
    const {store, callers, tables} = this.addresses;
    const links = [store, callers, tables].map((one) => splitPlace(one).port);
    const {platformApiAddress: api} = this.parts;
    const apiPorts = api === undefined ? [] : [splitPlace(api).port];
    return [...this.ports, ...links, ...apiPorts];
  }

  /** Writes the settings file anew, and tells the process so. */
  sendReload(): void {
    this.writeSettings();
    if (this.takesReload) this.sendSignal('SIGHUP');
  }

  /** Ends the process and its links for good. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.isEnding = true;
    const {child} = this;
    if (child !== undefined) {
      child.kill('SIGKILL');
      await waitExit(child);
    }
    for (const link of [this.storeLink, this.callerLink, this.tableLink]) {
      link.stop();
    }
    this.datagramLink?.stop();
  }

  private getPort(index: number): {host: string; port: number} {
    return {host: '127.0.0.1', port: this.ports[index] ?? 0};
  }

  private startProcess(): void {
    if (this.isClosed) return;
    this.life++;
    this.isEnding = false;
    const {directory, name, program} = this.parts;
    const child = spawn(process.execPath, ['--import', PRELOAD, program], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
      env: createEnvironment(this.writeSettings()),
    });
    const log = createWriteStream(join(directory, `${name}.log`), {flags: 'a'});
    child.send(this.partition, () => undefined);
    child.stdout?.pipe(log, {end: false});
    child.stderr?.pipe(log, {end: false});
    this.child = child;
    this.takesReload = false;
    child.once('message', () => {
      this.takesReload = this.child === child;
    });
    RUNNING.add(child);
    child.once('exit', (code, signal) => {
      RUNNING.delete(child);
      this.takesReload = false;
      this.child = undefined;
      if (this.isEnding) return;
      this.parts.handleUnexpectedExit({host: name, code, signal});
      setTimeout(() => {
        this.startProcess();
      }, RESTART_MS);
    });
  }

  private writeSettings(): string {
    const {name, failureDomain, directory, hasFewRetries} = this.parts;
    const retries = hasFewRetries === true ? FEW_RETRIES : MANY_RETRIES;
    const [front = 0, addresses = 0, readiness = 0, tables = 0, datagrams = 0] =
      this.ports;
    const {store, callers, tables: tableAddress} = this.addresses;
    const text = [
      `[host]\nname = "${name}"\nfailureDomain = "${failureDomain}"`,
      `deployment = "${basename(directory)}"`,
      ...this.listRegionLines(),
      `[store]\naddress = "${store}"\ntimeoutMs = 400`,
      '[tables]\nwaitMs = 500\nretryMs = 150',
      `[phase]\ngraceSeconds = ${GRACE_SECONDS}`,
      `[peers]\nlisten = "127.0.0.1:${datagrams}"`,
      `datagramAddress = "${this.addresses.datagrams}"`,
      `tableAddress = "${tableAddress}"\ncallerAddress = "${callers}"`,
      `seeds = "${this.parts.getSeeds().join(',')}"\nbeatMs = 150`,
      `[peerTables]\nlisten = "127.0.0.1:${tables}"`,
      `[front]\nlisten = "127.0.0.1:${front}"`,
      `retryRatio = ${retries.ratio}\nretryAllowance = ${retries.allowance}`,
      `[metrics]\nlisten = "127.0.0.1:${this.ports[5] ?? 0}"`,
      `[directory]\nlisten = "127.0.0.1:${addresses}"`,
      `readinessListen = "127.0.0.1:${readiness}"`,
      ...this.listTaskLines(),
    ];
    const path = join(directory, `${name}.toml`);
    // A host that is starting may read the file at this moment.
    writeFileSync(`${path}.new`, `${text.join('\n')}\n`);
    renameSync(`${path}.new`, path);
    return path;
  }

  private listRegionLines(): string[] {
    const {failureDomain, regions} = this.parts;
    if (regions === undefined) return [];
    const pairs = Object.entries(regions);
    return [
      `region = "${regions[failureDomain] ?? ''}"\n[host.regions]`,
      ...pairs.map(([domain, region]) => `"${domain}" = "${region}"`),
    ];
  }

  private listTaskLines(): string[] {
    const {platformApiAddress} = this.parts;
    if (platformApiAddress === undefined) return [];
    return [
      `[platformApi]\naddress = "${platformApiAddress}"`,
      `duties = ["usage_report","scaling"]\n[tasks]\nleaseMs = ${LEASE_MS}`,
      `[usageReports]\nwindowSeconds = ${WINDOW_SECONDS}`,
      `delaySeconds = ${DUE_SECONDS}`,
    ];
  }
}

/** Creates the variables of a host; the platform passes no others on. */
function createEnvironment(settingsPath: string): NodeJS.ProcessEnv {
  const {PATH, HOME, LANG} = process.env;
  return {PATH, HOME, LANG, IRISDOCK_SETTINGS: settingsPath};
}

async function waitExit(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  await new Promise((resolve) => child.once('exit', resolve));
}
