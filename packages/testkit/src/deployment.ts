/**
 * A deployment of processes for one test: the platform, daemons, engines and
 * plain services, each on a port of its own that the system gives.
 */
import * as z from 'zod';
import {startProcess, type RunningProcess} from './process.js';
import {getJson, putJson, sendHttp, type HttpAnswer} from './http.js';
import {
  BASE_RESOURCES,
  KEY,
  NAMES,
  PLACES_SCHEMA,
  type DaemonNode,
  type DeploymentOptions,
  type EndpointNode,
  type EngineCounts,
} from './deployment_types.js';
import {waitUntil} from './wait.js';

/** What of `GET /v1/status` says that a daemon sees what there is. */
interface HostStatus {
  readonly hosts: readonly {readonly state: string}[];
  readonly services: readonly {
    readonly endpoints: readonly {
      readonly address: string;
      readonly answering: boolean;
      readonly models: readonly string[];
    }[];
  }[];
}

/** Processes that serve together. */
export class Deployment {
  readonly daemons: DaemonNode[] = [];
  readonly endpoints: EndpointNode[] = [];
  private serial = 0;
  private readonly processes: RunningProcess[] = [];

  constructor(
    private readonly options: DeploymentOptions,
    readonly platform: RunningProcess,
    readonly platformAddress: string,
  ) {
    this.processes.push(platform);
  }

  /** The engines. */
  get engines(): EndpointNode[] {
    return this.endpoints.filter((e) => e.service === NAMES.service);
  }

  /** The plain services. */
  get plains(): EndpointNode[] {
    return this.endpoints.filter((e) => e.service === NAMES.plain);
  }

  /** The daemons whose process runs. */
  get liveDaemons(): DaemonNode[] {
    return this.daemons.filter((daemon) => !daemon.process.isExited);
  }

  /** The engines whose process runs. */
  get liveEngines(): EndpointNode[] {
    return this.engines.filter((engine) => !engine.process.isExited);
  }

  /** Gives the caller addresses of all daemons. */
  listAddresses(): string[] {
    return this.daemons.map((daemon) => daemon.places.caller);
  }

  /** Finds a daemon by its number, from 0. */
  getDaemon(at: number): DaemonNode {
    const daemon = this.daemons[at];
    if (daemon === undefined) throw new Error(`No daemon ${at}.`);
    return daemon;
  }

  /** Finds the engine at an address. */
  findEngine(address: string): EndpointNode {
    const engine = this.endpoints.find((e) => e.address === address);
    if (engine === undefined) throw new Error(`No engine at ${address}.`);
    return engine;
  }

  /** Starts what the options say, and publishes it. */
  async addAll(): Promise<void> {
    const {engines, plains, daemons} = this.options;
    for (let at = 0; at < engines; at++) await this.addEndpoint('engine');
    for (let at = 0; at < (plains ?? 0); at++) await this.addEndpoint('plain');
    await this.addManyEngines(this.options.manyEngines ?? 0);
    for (let at = 0; at < daemons; at++) await this.addDaemon();
    await this.publishHosts();
    for (const {places} of this.daemons) {
      await waitUntil(`${places.operator} is configured`, async () => {
        const ready = await sendHttp(`http://${places.operator}/readyz`);
        return ready.status === 200;
      });
    }
  }

  /** Starts one more daemon. */
  async addDaemon(args: readonly string[] = []): Promise<DaemonNode> {
    const failureDomain = this.getDomain(this.daemons.length);
    const any = '127.0.0.1:0';
    const started = await startProcess(
      'irisdockd',
      [
        ...['--listen-callers', any, '--listen-operators', any],
        ...['--listen-peers', any, '--host-failure-domain', failureDomain],
        ...['--platform-address', this.platformAddress],
        ...['--log-level', 'warn'],
        ...(this.options.daemonArgs ?? []),
        ...args,
      ],
      PLACES_SCHEMA,
      {IRISDOCK_HOST_CLUSTER_KEY: KEY, ...this.options.daemonEnv},
    );
    const {process, place: places} = started;
    const node = {process, places, failureDomain};
    this.processes.push(process);
    this.daemons.push(node);
    return node;
  }

  /** Starts one more endpoint. */
  async addEndpoint(
    program: 'engine' | 'plain',
    args: readonly string[] = [],
  ): Promise<EndpointNode> {
    const service = program === 'engine' ? NAMES.service : NAMES.plain;
    const same = this.endpoints.filter((e) => e.service === service).length;
    const name = `e${this.serial++}`;
    const named = program === 'engine' ? ['--engine-name', name] : [];
    const extra = program === 'engine' ? (this.options.engineArgs ?? []) : [];
    const started = await startProcess(
      program,
      [...named, ...extra, ...args],
      z.string(),
    );
    const node: EndpointNode = {
      name,
      process: started.process,
      address: started.place,
      service,
      failureDomain: this.getDomain(same),
      state: 'live',
    };
    this.processes.push(started.process);
    this.endpoints.push(node);
    return node;
  }

  /** Starts engines that share one process. */
  async addManyEngines(count: number): Promise<void> {
    if (count === 0) return;
    const first = await this.addEndpoint('engine', [
      ...['--engine-count', String(count), '--engine-models', NAMES.model],
      ...['--engine-step-ms', '1000'],
    ]);
    this.endpoints.pop();
    for (const address of first.address.split(',')) {
      this.endpoints.push({...first, address});
    }
  }

  /** Starts engines until so many live, and waits until all are used. */
  async addEnginesUntil(count: number): Promise<void> {
    for (let at = this.liveEngines.length; at < count; at++) {
      await this.addEndpoint('engine', ['--engine-models', NAMES.model]);
    }
    for (let at = this.endpoints.length - 1; at >= 0; at--) {
      if (this.endpoints[at]?.process.isExited) this.endpoints.splice(at, 1);
    }
    await this.publishHosts();
    await this.waitReady();
  }

  /**
   * Gives the platform the list of hosts as they are.
   *
   * @param more Entries that come after them, as in a list that contradicts
   *     itself.
   */
  async publishHosts(more: readonly EndpointNode[] = []): Promise<void> {
    const hosts = [
      ...this.liveDaemons.map(({places, failureDomain}) => ({
        address: places.peer,
        role: 'entry',
        failureDomain,
        state: 'live',
      })),
      ...[...this.endpoints, ...more].map((endpoint) => ({
        address: endpoint.address,
        role: 'endpoint',
        service: endpoint.service,
        failureDomain: endpoint.failureDomain,
        state: endpoint.state,
      })),
    ];
    await putJson(`http://${this.platformAddress}/control/hosts`, {hosts});
  }

  /** Declares resources through a daemon's resource API. */
  async declare(
    resources: readonly {kind: string; name: string; spec: unknown}[],
    daemon = 0,
  ): Promise<HttpAnswer[]> {
    const {operator} = this.getDaemon(daemon).places;
    const answers: HttpAnswer[] = [];
    for (const {kind, name, spec} of resources) {
      const url = `http://${operator}/v1/resources/${kind}/${name}`;
      answers.push(await putJson(url, {spec}));
    }
    return answers;
  }

  /** Sets the platform's faults. */
  async setPlatformFaults(faults: unknown): Promise<void> {
    await putJson(`http://${this.platformAddress}/control/faults`, faults);
  }

  /** Sets an endpoint's faults. */
  async setFaults(endpoint: EndpointNode, faults: unknown): Promise<void> {
    await putJson(`http://${endpoint.address}/control/faults`, faults);
  }

  /** Sums an engine's counts for a request over all engines that answer. */
  async countRuns(requestId: string): Promise<EngineCounts> {
    const sum = {starts: 0, continues: 0, attaches: 0, tokens: 0};
    for (const engine of this.engines) {
      if (engine.process.isExited) continue;
      const url = `http://${engine.address}/control/counts`;
      const all = await getJson<Record<string, EngineCounts>>(url);
      const counts = all[requestId];
      if (counts === undefined) continue;
      sum.starts += counts.starts;
      sum.continues += counts.continues;
      sum.attaches += counts.attaches;
      sum.tokens += counts.tokens;
    }
    return sum;
  }

  /** Reads one daemon's metric; the sum over its labels. */
  async readMetric(name: string, daemon = 0): Promise<number> {
    const {operator} = this.getDaemon(daemon).places;
    const answer = await sendHttp(`http://${operator}/metrics`);
    let sum = 0;
    for (const line of answer.text.split('\n')) {
      if (!line.startsWith(`${name} `) && !line.startsWith(`${name}{`)) {
        continue;
      }
      sum += Number(line.slice(line.lastIndexOf(' ') + 1));
    }
    return sum;
  }

  /** Waits until every daemon is ready and sees all endpoints answer. */
  async waitReady(): Promise<void> {
    for (const daemon of this.daemons) {
      if (daemon.process.isExited) continue;
      await waitUntil(`${daemon.places.operator} is ready`, () =>
        this.isReady(daemon),
      );
    }
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.kill()));
  }

  private async isReady(daemon: DaemonNode): Promise<boolean> {
    const {operator} = daemon.places;
    const ready = await sendHttp(`http://${operator}/readyz`);
    if (ready.status !== 200) return false;
    const status = await getJson<HostStatus>(`http://${operator}/v1/status`);
    const live = status.hosts.filter((host) => host.state === 'live');
    if (live.length < this.liveDaemons.length) return false;
    const seen = status.services.flatMap((service) => service.endpoints);
    // By address: one that just ended may still seem to answer.
    return this.endpoints.every(({address, service}) => {
      const found = seen.find((endpoint) => endpoint.address === address);
      if (found?.answering !== true) return false;
      return service !== NAMES.service || found.models.includes(NAMES.model);
    });
  }

  private getDomain(at: number): string {
    const domains = this.options.failureDomains ?? ['a', 'b', 'c'];
    return domains[at % domains.length] ?? 'a';
  }
}

/** Starts a deployment in which nothing is declared yet. */
export async function createBareDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const {process, place} = await startProcess(
    'platform',
    [
      ...['--platform-host-list-lag-ms', '200'],
      ...(options.platformArgs ?? []),
    ],
    z.string(),
  );
  const deployment = new Deployment(options, process, place);
  try {
    await deployment.addAll();
  } catch (thrown) {
    await deployment.stop();
    throw thrown;
  }
  return deployment;
}

/** Starts a deployment and waits until it serves. */
export async function createDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const deployment = await createBareDeployment(options);
  try {
    await waitUntil('the base resources are accepted', async () => {
      const answers = await deployment.declare(BASE_RESOURCES);
      return answers.every((answer) => answer.status === 200);
    });
    await deployment.waitReady();
  } catch (thrown) {
    await deployment.stop();
    throw thrown;
  }
  return deployment;
}
