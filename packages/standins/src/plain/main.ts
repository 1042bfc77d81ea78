/**
 * A plain service stand-in: answers with what it was sent and counts how
 * often each request id ran.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {sendJson, WebServer, type WebRequest} from '@irisdock/web';
import * as z from 'zod';
import {runProgram} from '../program.js';

const SETTINGS = z.object({
  listen: z.string().default('127.0.0.1:0').meta({unit: 'ip:port'}),
  workMs: z.coerce.number().default(2).meta({unit: 'ms'}),
});

const LIMITS = {maxBytes: 4 * 1024 * 1024, maxMs: 10_000};
const REQUEST_ID_HEADER = 'x-request-id';

class PlainService {
  private readonly runs = new Map<string, number>();
  private running = 0;
  private cutNext = 0;

  constructor(private readonly workMs: number) {}

  async serve(request: WebRequest): Promise<void> {
    const body = await request.readBody();
    if (body.isErr()) return;
    const id = request.getHeader(REQUEST_ID_HEADER) ?? '';
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.running++;
    await wait(this.workMs);
    this.running--;
    if (this.cutNext > 0) {
      this.cutNext--;
      request.message.socket.destroy();
      return;
    }
    const path = request.getParameter('rest');
    sendJson(request.response, 200, {
      path,
      method: request.message.method,
      body: body.value.toString('utf8'),
    });
  }

  getRuns(request: WebRequest): void {
    sendJson(request.response, 200, Object.fromEntries(this.runs));
  }

  getLoad(request: WebRequest): void {
    sendJson(request.response, 200, {
      running: this.running,
      queued: 0,
      slots: 32,
      models: [],
      adapters: [],
      ageMs: 0,
    });
  }

  async setFaults(request: WebRequest): Promise<void> {
    const body = await request.readJson(z.object({cutNext: z.number()}));
    if (body.isOk()) this.cutNext = body.value.cutNext;
    sendJson(request.response, 200, {});
  }
}

await runProgram({
  name: 'plain',
  settings: SETTINGS,
  start: (settings, log) => {
    const service = new PlainService(settings.workMs);
    const routes = [
      {
        method: 'GET' as const,
        path: '/v1/load',
        handle: (r: WebRequest) => {
          service.getLoad(r);
        },
      },
      {
        method: 'GET' as const,
        path: '/control/runs',
        handle: (r: WebRequest) => {
          service.getRuns(r);
        },
      },
      {
        method: 'PUT' as const,
        path: '/control/faults',
        handle: (r: WebRequest) => service.setFaults(r),
      },
      {
        method: '*' as const,
        path: '/*',
        handle: (r: WebRequest) => service.serve(r),
      },
    ];
    const {listen} = settings;
    return new WebServer({listen, limits: LIMITS}, routes, log).start();
  },
});
