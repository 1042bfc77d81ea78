/** The engine stand-in as a process: HTTP around the engine's core. */
import type {ServerResponse} from 'node:http';
import {sendJson, WebServer, type Route, type WebRequest} from '@irisdock/web';
import * as z from 'zod';
import {runProgram} from '../program.js';
import {Engine, type StreamRefusal} from './engine.js';
import {ENGINE_FAULTS_SCHEMA} from './faults.js';
import {STREAM_SCHEMA} from './generation.js';
import {ORDER_SCHEMA, Orders} from './orders.js';

const SETTINGS = z.object({
  listen: z.string().default('127.0.0.1:0').meta({unit: 'ip:port'}),
  name: z.string().default('e').meta({unit: 'name'}),
  slots: z.coerce.number().default(16).meta({unit: 'streams'}),
  queue: z.coerce.number().default(64).meta({unit: 'streams'}),
  stepMs: z.coerce.number().default(20).meta({unit: 'ms'}),
  prefillMsPerBlock: z.coerce.number().default(1).meta({unit: 'ms'}),
  cacheBlocks: z.coerce.number().default(4096).meta({unit: 'blocks'}),
  cacheLagMs: z.coerce.number().default(300).meta({unit: 'ms'}),
  loadLagMs: z.coerce.number().default(300).meta({unit: 'ms'}),
  keepMs: z.coerce.number().default(10_000).meta({unit: 'ms'}),
  models: z.string().default('').meta({unit: 'names, comma'}),
  count: z.coerce.number().default(1).meta({unit: 'engines'}),
  checksFence: z.stringbool().default(true).meta({unit: 'true or false'}),
});
type Settings = z.infer<typeof SETTINGS>;

const LIMITS = {maxBytes: 16 * 1024 * 1024, maxMs: 10_000};
const CANCEL_SCHEMA = z.object({request: z.string(), below: z.number().int()});
const REFUSAL_STATUS: Readonly<Record<StreamRefusal, number>> = {
  full: 503,
  superseded: 409,
  unknown_stream: 404,
};
const FAULT_STATUS = 500;

/** Sends the head, and breaks the connection before any event. */
function closeAfterHead(response: ServerResponse): void {
  response.write(':\n\n', () => {
    response.destroy();
  });
}

class EngineServer {
  private readonly engine: Engine;
  private readonly orders: Orders;

  constructor(private readonly settings: Settings) {
    this.engine = new Engine(settings);
    const models = settings.models.split(',').filter((name) => name !== '');
    this.orders = new Orders(models, settings.checksFence);
    this.planStep(settings.stepMs);
  }

  listRoutes(): Route[] {
    const {engine, orders} = this;
    return [
      {method: 'POST', path: '/v1/streams', handle: (r) => this.stream(r)},
      {method: 'POST', path: '/v1/cancel', handle: (r) => this.cancel(r)},
      {method: 'POST', path: '/v1/orders', handle: (r) => this.sendOrder(r)},
      this.createGet('/v1/load', () => this.getLoad()),
      this.createGet('/v1/cache', (request) => {
        const after = Number(request.url.searchParams.get('after') ?? 0);
        return engine.cache.getEvents(after, Date.now());
      }),
      this.createGet('/control/counts', () =>
        Object.fromEntries(engine.counts),
      ),
      this.createGet('/control/cache', () => engine.cache.counts),
      this.createGet('/control/orders', () => orders.history),
      {
        method: 'PUT',
        path: '/control/faults',
        handle: (r) => this.setFaults(r),
      },
    ];
  }

  private planStep(ms: number): void {
    setTimeout(() => {
      this.engine.step(Date.now());
      this.planStep(this.stepMs);
    }, ms);
  }

  private get stepMs(): number {
    return this.changedStepMs ?? this.settings.stepMs;
  }
  private changedStepMs: number | undefined;

  private createGet(
    path: string,
    answer: (request: WebRequest) => unknown,
  ): Route {
    const handle = (request: WebRequest): void => {
      sendJson(request.response, 200, answer(request));
    };
    return {method: 'GET', path, handle};
  }

  private getLoad(): unknown {
    const now = Date.now();
    const {at, running, queued} = this.engine.getLoad(now);
    const {slots} = this.settings;
    const loaded = this.orders.getLoaded();
    return {running, queued, slots, ageMs: now - at, ...loaded};
  }

  private async stream(request: WebRequest): Promise<void> {
    const order = await request.readJson(STREAM_SCHEMA);
    if (order.isErr()) {
      sendJson(request.response, 400, {error: order.error});
      return;
    }
    if (this.applyStreamFault(request.response)) return;
    const refusal = this.engine.acceptStream(order.value, request.response);
    if (refusal === undefined) {
      const isCut = this.engine.faults.streams === 'cut';
      if (isCut) closeAfterHead(request.response);
      return;
    }
    sendJson(request.response, REFUSAL_STATUS[refusal], {error: refusal});
  }

  /** Applies a fault to a new stream; returns whether that ends it. */
  private applyStreamFault(response: ServerResponse): boolean {
    const {streams} = this.engine.faults;
    if (streams === 'refuse') {
      sendJson(response, REFUSAL_STATUS.full, {error: 'full'});
      return true;
    }
    if (streams === 'fail') {
      sendJson(response, FAULT_STATUS, {error: 'fault'});
      return true;
    }
    if (streams !== 'reset') return false;
    response.socket?.resetAndDestroy();
    return true;
  }

  private async cancel(request: WebRequest): Promise<void> {
    const body = await request.readJson(CANCEL_SCHEMA);
    if (body.isOk()) this.engine.cancel(body.value.request, body.value.below);
    sendJson(request.response, body.isOk() ? 200 : 400, {});
  }

  private async sendOrder(request: WebRequest): Promise<void> {
    const order = await request.readJson(ORDER_SCHEMA);
    if (order.isErr()) {
      sendJson(request.response, 400, {error: order.error});
      return;
    }
    const applied = this.orders.apply(order.value);
    const loaded = this.orders.getLoaded();
    sendJson(request.response, applied ? 200 : 409, {applied, ...loaded});
  }

  private async setFaults(request: WebRequest): Promise<void> {
    const body = await request.readJson(ENGINE_FAULTS_SCHEMA);
    if (body.isOk()) {
      this.engine.faults.set(body.value);
      this.changedStepMs = body.value.stepMs ?? this.changedStepMs;
    }
    sendJson(request.response, body.isOk() ? 200 : 400, {});
  }
}

await runProgram({
  name: 'engine',
  settings: SETTINGS,
  // Several engines in one process, for measurements of many endpoints.
  start: async (settings, log) => {
    const {listen, count} = settings;
    const places: string[] = [];
    for (let at = 0; at < count; at++) {
      const routes = new EngineServer(settings).listRoutes();
      const server = new WebServer({listen, limits: LIMITS}, routes, log);
      places.push(await server.start());
    }
    return places.join(',');
  },
});
