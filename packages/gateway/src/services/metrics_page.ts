/**
 * The service `metrics`: the operators' HTTP server of this process. It serves
 * the metrics as text and the pages of `crash_pages.ts`, `limit_pages.ts`,
 * `host_pages.ts` and `task_pages.ts`.
 */
import type {Server} from 'node:http';
import {
  createGuardedServer,
  createService,
  createServiceKey,
  getErrorText,
  IP_PORT_SCHEMA,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import {collectDefaultMetrics} from 'prom-client';
import * as z from 'zod';
import {startListening} from '../channels/listening.js';
import {handleCrashPages} from './crash_pages.js';
import {CRASHES} from './crashes.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {handleHostPages} from './host_pages.js';
import {handleLimitPages} from './limit_pages.js';
import {LIMITS} from './limits.js';
import {PEERS} from './peers.js';
import {handleTaskPages} from './task_pages.js';
import {REQUEST_MEMORY} from './request_memory.js';
import {TASK_SUMMARIES} from './tasks.js';

/** The path of the metrics. */
export const METRICS_PATH = '/metrics';

/**
 * The resolution of the event loop lag, in ms; the default of 10 ms would wake
 * an idle process 100 times per second.
 */
const EVENT_LOOP_RESOLUTION_MS = 2000;

/**
 * The time between two attempts to listen, in ms. The previous process with
 * this address may still be stopping.
 */
const RETRY_MS = 1000;

/** The key of the service. */
export const METRICS_PAGE = createServiceKey<undefined>('metrics');

/** Declares the service. */
export const METRICS_PAGE_SERVICE = createService({
  key: METRICS_PAGE,
  settings: z.object({
    listen: IP_PORT_SCHEMA.meta({
      unit: 'ip:port',
      description: 'Where the metrics are served, at /metrics.',
    }),
  }),
  needs: [
    CRASHES,
    GATEWAY_CONFIGURATION,
    GATEWAY_ENDPOINTS,
    LIMITS,
    PEERS,
    REQUEST_MEMORY,
    TASK_SUMMARIES,
  ],
  create(context, settings) {
    const {metrics, log, clock} = context;
    const crashes = context.find(CRASHES);
    const limits = context.find(LIMITS);
    const endpoints = context.find(GATEWAY_ENDPOINTS);
    const configuration = context.find(GATEWAY_CONFIGURATION);
    const peers = context.find(PEERS);
    const tasks = context.find(TASK_SUMMARIES);
    collectDefaultMetrics({
      register: metrics,
      prefix: 'irisdock_process_',
      eventLoopMonitoringPrecision: EVENT_LOOP_RESOLUTION_MS,
    });
    const {guard} = context.find(REQUEST_MEMORY);
    const server = createGuardedServer(guard, (message, response) => {
      if (handleCrashPages(message, response, {crashes, clock, log})) return;
      const limitParts = {limits, endpoints, clock};
      if (handleLimitPages(message, response, limitParts)) return;
      const hostParts = {peers, configuration, clock};
      if (handleHostPages(message, response, hostParts)) return;
      if (handleTaskPages(message, response, tasks)) return;
      if (message.url !== METRICS_PATH) {
        response.writeHead(404).end();
        return;
      }
      metrics
        .metrics()
        .then((text) => {
          response.writeHead(200, {'content-type': metrics.contentType});
          response.end(text);
        })
        .catch((thrown: unknown) => {
          const error = getErrorText(thrown);
          log.writeError('Failed to collect the metrics.', {error});
          response.writeHead(500).end();
        });
    });
    const ended = new AbortController();
    const page = {server, address: settings.listen, clock, log};
    let running = Promise.resolve();
    return {
      api: undefined,
      async start() {
        if (!(await tryListening(page))) {
          running = waitListening(page, ended.signal);
        }
      },
      async stop() {
        ended.abort();
        await running;
        server.close();
        server.closeAllConnections();
      },
    };
  },
});

/** A server and the address that it listens on. */
interface ServedPage {
  readonly server: Server;
  /** As `ip:port`. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Starts to listen; returns false on failure, such as an address in use.
 */
async function tryListening({
  server,
  address,
  log,
}: ServedPage): Promise<boolean> {
  try {
    await startListening(server, address);
    return true;
  } catch (thrown) {
    // Callers are served without this page as well.
    const error = getErrorText(thrown);
    log.writeError('The figures are not given.', {address, error});
    return false;
  }
}

/** Retries until the server listens. */
async function waitListening(
  page: ServedPage,
  signal: AbortSignal,
): Promise<void> {
  await page.clock.wait(RETRY_MS, signal);
  while (!signal.aborted && !(await tryListening(page))) {
    await page.clock.wait(RETRY_MS, signal);
  }
}
