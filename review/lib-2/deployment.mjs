/**
 * A small deployment as separate processes on loopback addresses: the hosts,
 * started with the command of the deploy file and settings from its template,
 * stand-ins of servers, and the store in this process.
 */
import {fork, spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {fillTemplate} from './template.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const SERVER = fileURLToPath(new URL('server.mjs', import.meta.url));
const HEARTBEAT_MS = 1200;
/** An entry goes after three pings without a write. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const RESTART_MS = 500;
/** A case that takes longer has not run; it has 120 s. */
const MAX_CASE_MS = 110_000;
const EXIT_NOT_RUN = 2;
const PORT_NAMES = ['front', 'ready', 'control', 'directory', 'internal'];
const METRICS_PORT = 9464;

/** Lists the words of the command of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"$/mu.exec(text)[1].split(' ');
}

async function findFreePort(address) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, address, resolve);
  });
  const {port} = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Asks for a page; gives status and body, or status 0. */
export async function fetchPage(url, timeoutMs = 1000) {
  return new Promise((resolve) => {
    const request = get(url, {agent: false, timeout: timeoutMs}, (response) => {
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (part) => (body += part));
      response.on('error', () => resolve({status: 0, body}));
      response.on('end', () => resolve({status: response.statusCode, body}));
    });
    request.on('timeout', () => request.destroy(new Error('late')));
    request.on('error', () => resolve({status: 0, body: ''}));
  });
}

/** A deployment and what is written of it. */
export class Deployment {
  store = new Store();
  hosts = [];
  /** Runs at servers: attempt to the number of runs. */
  runs = new Map();
  /** Runs that have ended, by attempt. */
  ends = new Map();
  servers = new Map();
  directory = mkdtempSync(join(tmpdir(), 'irisdock-review-'));
  children = new Set();
  startedAt = performance.now();
  record;
  count = 0;
  isStopped = false;
  command = readCommand();

  constructor(recordPath) {
    this.record = createWriteStream(recordPath);
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => {
        this.#killAll();
        process.exit(EXIT_NOT_RUN);
      });
    }
    // An error of the case itself says nothing of the rule.
    process.once('uncaughtException', (error) => {
      process.stdout.write(`the case could not run: ${error.stack}\n`);
      process.exit(EXIT_NOT_RUN);
    });
    setTimeout(() => {
      process.stdout.write('the case did not end in its time\n');
      process.exit(EXIT_NOT_RUN);
    }, MAX_CASE_MS).unref();
    process.once('exit', () => this.#killAll());
  }

  /** Seconds since the start. */
  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  /** Writes one line of the record. */
  write(text) {
    this.record.write(`${this.now.toFixed(3)} ${text}\n`);
  }

  /** Writes the operator's configuration. */
  configure(configuration) {
    this.store.put('op', 'config', configuration);
    this.write(`the store acknowledged configuration ${configuration.version}`);
  }

  /** Starts the store and hosts, in each zone by turns. */
  async start(count, zones, bounds, memoryMb = 350) {
    this.storeAddress = await this.store.start();
    // The template fixes the port of the metrics: plays beside others use other addresses.
    const net = `${randomInt(1, 250)}.${randomInt(1, 250)}`;
    const ports = {};
    for (const name of PORT_NAMES) {
      ports[name] = await findFreePort('127.0.0.1');
    }
    const addresses = Array.from(
      {length: count},
      (_, i) => `127.${net}.${i + 1}`,
    );
    const seeds = addresses.slice(0, 3).map((ip) => `${ip}:${ports.control}`);
    const regions = Object.fromEntries(zones.map((zone) => [zone, 'region-a']));
    for (const [index, ip] of addresses.entries()) {
      const zone = zones[index % zones.length];
      const name = `front-${zone}-${index + 1}`;
      const fields = {
        node_name: name,
        role: 'entry',
        machine_class: 'front',
        serves: ['front', 'control', 'directory'],
        ip_address: ip,
        zone,
        region: 'region-a',
        internal_port_range: [ports.internal, ports.internal + 1],
        seeds,
        zones: regions,
        listen_addresses: {
          front: `${ip}:${ports.front}`,
          ready: `${ip}:${ports.ready}`,
          control: `${ip}:${ports.control}`,
          directory: `${ip}:${ports.directory}`,
        },
        limits: {
          cpu_share: 0.675,
          cpu_cores: 1,
          memory_mb: memoryMb,
          link_mbps: 1000,
        },
        bounds,
        platform: {address: this.storeAddress},
      };
      const text = readFileSync(
        join(ROOT, 'deploy/settings.toml.template'),
        'utf8',
      );
      const path = join(this.directory, `${name}.toml`);
      writeFileSync(path, fillTemplate(text, fields));
      const host = {name, ip, zone, path, ports, isEnding: false};
      this.hosts.push(host);
      this.startHost(host);
    }
  }

  /** Starts the process of a host. */
  startHost(host) {
    if (this.isStopped) return;
    const [, ...args] = this.command;
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {PATH, HOME, LANG, IRISDOCK_SETTINGS: host.path},
    });
    const log = createWriteStream(join(this.directory, `${host.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.children.add(child);
    host.child = child;
    host.isEnding = false;
    this.write(`${host.name} started`);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      this.write(`${host.name} ended, code ${code}, signal ${signal}`);
      host.child = undefined;
      host.ended?.({code, signal});
    });
  }

  /** Ends the processes of all hosts at once and starts them again. */
  async killAllHosts(downMs = RESTART_MS) {
    this.write('SIGKILL to all hosts');
    await Promise.all(
      this.hosts.map(async (host) => {
        const ended = new Promise((resolve) => (host.ended = resolve));
        host.child?.kill('SIGKILL');
        await ended;
      }),
    );
    await wait(downMs);
    for (const host of this.hosts) this.startHost(host);
  }

  /** Waits until each host says that it is ready. */
  async waitReady(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    for (const {ip, ports, name} of this.hosts) {
      for (;;) {
        const url = `http://${ip}:${ports.ready}/-/readiness`;
        if ((await fetchPage(url)).status === 200) break;
        if (performance.now() > until) throw new Error(`${name} is not ready`);
        await wait(50);
      }
    }
    this.write('all hosts are ready');
  }

  /** Starts a server of a service; it enters itself in the store. */
  async startServer(service, zone, options) {
    const id = `i-${(0x7f3a00 + ++this.count).toString(16)}`;
    const child = fork(SERVER, [JSON.stringify({...options, id})], {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    const address = await new Promise((resolve) => {
      child.on('message', (message) => {
        if (message.kind === 'listening') resolve(message.address);
        else this.#recordServer(message);
      });
    });
    const entry = {
      service,
      address,
      zone,
      version: 'v1',
      slots: options.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
    };
    this.store.put('servers', id, entry);
    this.servers.set(id, {id, service, zone, child, options});
    this.write(`server ${id} of ${service} is ready in ${zone}`);
    return id;
  }

  /** Lists the servers of a service. */
  listServers(service) {
    return [...this.servers.values()].filter((one) => one.service === service);
  }

  /** Ends servers at once, as a crash does; others come in their place. */
  async crashServers(servers, downMs) {
    for (const {child, id} of servers) {
      child.kill('SIGKILL');
      this.servers.delete(id);
      this.write(`server ${id} crashed`);
      void wait(LAPSE_MS).then(() => {
        if (!this.isStopped) this.store.put('servers', id, undefined);
      });
    }
    await wait(downMs);
    await Promise.all(
      servers.map(({service, zone, options}) =>
        this.startServer(service, zone, options),
      ),
    );
  }

  /** Reads what a host has logged. */
  readLog({name}) {
    return readFileSync(join(this.directory, `${name}.log`), 'utf8');
  }

  /** Ends all processes and removes the folder. */
  async stop() {
    this.isStopped = true;
    this.#killAll();
    this.store.stop();
    await new Promise((resolve) => this.record.end(resolve));
    if (process.env.KEEP === undefined) {
      rmSync(this.directory, {recursive: true, force: true});
    } else process.stdout.write(`${this.directory}\n`);
  }

  #recordServer({kind, id, attempt, method, path, isWhole}) {
    if (kind === 'run') {
      this.runs.set(attempt, (this.runs.get(attempt) ?? 0) + 1);
      this.write(`server ${id} runs ${attempt} ${method} ${path}`);
    } else if (kind === 'end') this.ends.set(attempt, isWhole);
  }

  #killAll() {
    for (const child of this.children) child.kill('SIGKILL');
  }
}

/** The port of the metrics that the template names. */
export {METRICS_PORT};
