/**
 * A small deployment on loopback: processes of the gateway, started with the
 * command and the template of the deploy file, around a stand-in of the store.
 */
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {formatTemplate} from './template.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TRIES = 200;
const READY_PAUSE_MS = 50;
const RESTART_MS = 300;
/** The bounds of the site `arbok-irisdock`. */
export const BOUNDS = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.8,
  budget_window_s: 10,
  retry_budget_slack: 150,
};
export const HOST_NAME = 'press.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'school-one';

/** Reads the command of the role and its template from the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(?<run>[^"]+)"/mu.exec(text).groups.run;
  const path = /^template = "(?<path>[^"]+)"/mu.exec(text).groups.path;
  return {
    run: run.split(' '),
    template: readFileSync(join(ROOT, path), 'utf8'),
  };
}

async function takePort(host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const {port} = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function readStatus(url) {
  return new Promise((resolve) => {
    const request = get(url, {agent: false}, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on('error', () => resolve(0));
  });
}

/** The deployment, and all that it started. */
export class Deployment {
  constructor() {
    this.directory = mkdtempSync(join(tmpdir(), 'irisdock-review-'));
    this.store = new Store();
    this.hosts = [];
    this.exits = [];
    // Each run has loopback addresses of its own.
    this.net = `127.${20 + (process.pid % 200)}.${process.pid % 250}`;
    process.once('exit', () => {
      for (const host of this.hosts) host.child?.kill('SIGKILL');
    });
    // A signal would end this process without 'exit'.
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
      process.once(signal, () => process.exit(2));
    }
  }

  /** Starts the store with a configuration and so many hosts. */
  async start(configuration, hostCount) {
    this.storeAddress = await this.store.start(`${this.net}.1`);
    this.store.put('op', 'config', configuration);
    for (let index = 0; index < hostCount; index++) {
      this.hosts.push(await this.createHost(index));
    }
    const seeds = this.hosts.map(({fields}) => fields.listen_addresses.control);
    for (const host of this.hosts) {
      host.fields.seeds = seeds;
      this.startHost(host);
    }
    for (const host of this.hosts) await this.waitReady(host);
  }

  async createHost(index) {
    const ip = `${this.net}.${10 + index}`;
    const [front, ready, control, directory, internal] = await Promise.all(
      Array.from({length: 5}, () => takePort(ip)),
    );
    const name = `front-hraun-${index + 1}`;
    const fields = {
      node_name: name,
      ip_address: ip,
      zone: 'hraun',
      region: 'hofudborg',
      internal_port_range: [internal, internal],
      zones: {hraun: 'hofudborg', fjara: 'hofudborg', heidi: 'hofudborg'},
      listen_addresses: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
        directory: `${ip}:${directory}`,
      },
      limits: {cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, link_mbps: 1000},
      bounds: BOUNDS,
      platform: {address: this.storeAddress},
    };
    return {
      name,
      fields,
      front: fields.listen_addresses.front,
      isEnding: false,
    };
  }

  /** Starts the process of a host; the platform starts one that ended again. */
  startHost(host) {
    const {run, template} = readDeployFile();
    const [program, ...args] = run;
    const settings = join(this.directory, `${host.name}.toml`);
    writeFileSync(settings, formatTemplate(template, host.fields));
    const {PATH, HOME, LANG} = process.env;
    const command = program === 'node' ? process.execPath : program;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, IRISDOCK_SETTINGS: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.directory, `${host.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    host.child = child;
    host.isEnding = false;
    child.once('exit', (code, signal) => {
      if (host.child === child) host.child = undefined;
      if (host.isEnding) return;
      this.exits.push({host: host.name, code, signal});
      setTimeout(() => {
        if (!this.isStopped) this.startHost(host);
      }, RESTART_MS);
    });
  }

  /** Sends a signal by which the platform or a test ends a host. */
  async endHost(host, signal) {
    const {child} = host;
    if (child === undefined) return;
    host.isEnding = true;
    child.kill(signal);
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => child.once('exit', resolve));
  }

  async waitReady({fields}) {
    const url = `http://${fields.listen_addresses.ready}/-/readiness`;
    for (let tries = 0; tries < READY_TRIES; tries++) {
      const status = await readStatus(url);
      if (status === 200) return;
      await sleep(READY_PAUSE_MS);
    }
    throw new Error('a host did not become ready');
  }

  /** Registers a server as it does itself. */
  addServer(id, service, address, zone = 'hraun') {
    this.store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
    });
  }

  /** Ends all processes and the store. */
  async stop() {
    this.isStopped = true;
    for (const host of this.hosts) await this.endHost(host, 'SIGKILL');
    this.store.stop();
    rmSync(this.directory, {recursive: true, force: true});
  }
}

/** A configuration with one tenant and the given routes. */
export function createConfiguration(routes, change = {}) {
  return {
    version: 7,
    routes: routes.map((route) => ({
      host: HOST_NAME,
      timeout_ms: 1000,
      target_latency_ms: 150,
      priority: 2,
      service: 'orders',
      attempts: 2,
      public: false,
      ...route,
    })),
    services: [
      {
        name: 'orders',
        health_path: '/health',
        connection_limit: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{name: TENANT, api_keys: [KEY], priority: 1}],
    ...change,
  };
}
