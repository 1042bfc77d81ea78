/** The platform stand-in: table, object store, host list, weight store. */
import type {Logger} from '@irisdock/kernel';
import {sendJson, WebServer, type Route, type WebRequest} from '@irisdock/web';
import * as z from 'zod';
import {runProgram} from '../program.js';
import {Faults, FAULTS_SCHEMA} from './faults.js';
import {HostList, HOSTS_SCHEMA} from './host_list.js';
import {RateLimit} from './rate.js';
import {COMMIT_SCHEMA, SCAN_SCHEMA, Table} from './table.js';

const SETTINGS = z.object({
  listen: z.string().default('127.0.0.1:0').meta({unit: 'ip:port'}),
  writesPerSecond: z.coerce.number().default(100).meta({unit: 'writes/s'}),
  readsPerSecond: z.coerce.number().default(2000).meta({unit: 'reads/s'}),
  weightsPerSecond: z.coerce.number().default(2).meta({unit: 'loads/s'}),
  hostListLagMs: z.coerce.number().default(500).meta({unit: 'ms'}),
});
type Settings = z.infer<typeof SETTINGS>;

const LIMITS = {maxBytes: 64 * 1024 * 1024, maxMs: 30_000};
const READ_SCHEMA = z.object({keys: z.array(z.string())});

class Platform {
  private readonly table = new Table();
  private readonly objects = new Map<string, Buffer>();
  private readonly hosts: HostList;
  private readonly writes: RateLimit;
  private readonly reads: RateLimit;
  private readonly weights: RateLimit;
  private readonly faults = new Faults();
  private readonly counts = {reads: 0, writes: 0, throttled: 0};

  constructor(settings: Settings) {
    this.hosts = new HostList(settings.hostListLagMs);
    this.writes = new RateLimit(settings.writesPerSecond);
    this.reads = new RateLimit(settings.readsPerSecond);
    this.weights = new RateLimit(settings.weightsPerSecond);
  }

  listRoutes(): Route[] {
    return [
      this.createRead('POST', '/table/read', async (request) => {
        const body = await request.readJson(READ_SCHEMA);
        if (body.isErr()) return {status: 400, value: body.error};
        return {value: {rows: this.table.readRows(body.value.keys)}};
      }),
      this.createRead('POST', '/table/scan', async (request) => {
        const body = await request.readJson(SCAN_SCHEMA);
        if (body.isErr()) return {status: 400, value: body.error};
        return {value: {rows: this.table.scanRows(body.value)}};
      }),
      {method: 'POST', path: '/table/commit', handle: (r) => this.commit(r)},
      this.createRead('GET', '/hosts', () =>
        Promise.resolve({value: {hosts: this.hosts.get(Date.now())}}),
      ),
      {method: 'GET', path: '/objects/*', handle: (r) => this.getObject(r)},
      {method: 'PUT', path: '/objects/*', handle: (r) => this.putObject(r)},
      {method: 'GET', path: '/weights/*', handle: (r) => this.getWeights(r)},
      {method: 'PUT', path: '/control/hosts', handle: (r) => this.setHosts(r)},
      {
        method: 'PUT',
        path: '/control/faults',
        handle: (r) => this.setFaults(r),
      },
      {
        method: 'GET',
        path: '/control/counts',
        handle: (r) => {
          sendJson(r.response, 200, this.counts);
        },
      },
    ];
  }

  private createRead(
    method: 'GET' | 'POST',
    path: string,
    answer: (request: WebRequest) => Promise<{status?: number; value: unknown}>,
  ): Route {
    const handle = async (request: WebRequest): Promise<void> => {
      if (!(await this.faults.pass(request))) return;
      this.counts.reads++;
      if (!this.takeRate(this.reads, request)) return;
      const {status, value} = await answer(request);
      sendJson(request.response, status ?? 200, value);
    };
    return {method, path, handle};
  }

  private async commit(request: WebRequest): Promise<void> {
    if (!(await this.faults.pass(request))) return;
    this.counts.writes++;
    if (!this.takeRate(this.writes, request)) return;
    const body = await request.readJson(COMMIT_SCHEMA);
    if (body.isErr()) {
      sendJson(request.response, 400, body.error);
      return;
    }
    const failed = this.table.commit(body.value);
    if (failed.length === 0 && this.faults.takeLostAnswer()) {
      request.message.socket.destroy();
      return;
    }
    sendJson(request.response, 200, {committed: failed.length === 0, failed});
  }

  private async getObject(request: WebRequest): Promise<void> {
    if (!(await this.faults.pass(request))) return;
    const object = this.objects.get(request.getParameter('rest'));
    request.response.writeHead(object === undefined ? 404 : 200);
    request.response.end(object);
  }

  private async putObject(request: WebRequest): Promise<void> {
    if (!(await this.faults.pass(request))) return;
    const body = await request.readBody();
    if (body.isErr()) return;
    this.objects.set(request.getParameter('rest'), body.value);
    sendJson(request.response, 200, {});
  }

  private async getWeights(request: WebRequest): Promise<void> {
    if (!(await this.faults.pass(request))) return;
    if (!this.takeRate(this.weights, request)) return;
    sendJson(request.response, 200, {name: request.getParameter('rest')});
  }

  private async setHosts(request: WebRequest): Promise<void> {
    const body = await request.readJson(HOSTS_SCHEMA);
    if (body.isOk()) this.hosts.set(body.value.hosts, Date.now());
    sendJson(request.response, body.isOk() ? 200 : 400, {});
  }

  private async setFaults(request: WebRequest): Promise<void> {
    const body = await request.readJson(FAULTS_SCHEMA);
    if (body.isOk()) this.faults.set(body.value);
    sendJson(request.response, body.isOk() ? 200 : 400, {});
  }

  private takeRate(rate: RateLimit, request: WebRequest): boolean {
    if (rate.take(Date.now())) return true;
    this.counts.throttled++;
    sendJson(request.response, 429, {error: 'throttled'});
    return false;
  }
}

await runProgram({
  name: 'platform',
  settings: SETTINGS,
  start: (settings, log: Logger) => {
    const routes = new Platform(settings).listRoutes();
    const {listen} = settings;
    return new WebServer({listen, limits: LIMITS}, routes, log).start();
  },
});
