/**
 * The service `usageReports`: reports the requests that endpoints began to the
 * platform, by window and team. It is idle unless the task `usage` is enabled
 * and the platform has an API.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {PLATFORM_API} from '../model/platform_api.js';
import {TASKS} from '../model/singleton_task.js';
import {BEGUN_REQUESTS} from './begun_requests.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {USAGE_TICK_MS, UsageExchange} from './usage_exchange.js';
import {UsageMetrics} from './usage_metrics.js';
import {UsageTask} from './usage_task.js';

/** The key of the service. */
export const USAGE_REPORTS = createServiceKey<undefined>('usageReports');

const MS_PER_SECOND = 1000;

const SETTINGS = z.object({
  windowSeconds: z.coerce.number().min(1).default(5).meta({
    unit: 's',
    description: 'The length of the windows of usage reports.',
  }),
  finalizeSeconds: z.coerce.number().min(0).default(2).meta({
    unit: 's',
    description: 'How long after its end the counts of a window are final.',
  }),
  delaySeconds: z.coerce.number().min(1).default(10).meta({
    unit: 's',
    description: 'How long after its end the report of a window is due.',
  }),
});

/** Declares the service. */
export const USAGE_REPORTS_SERVICE = createService({
  key: USAGE_REPORTS,
  settings: SETTINGS,
  needs: [BEGUN_REQUESTS, HOST_IDENTITY, PEERS, PLATFORM_API, TASKS],
  create(context, settings) {
    const {clock, log} = context;
    const tasks = context.find(TASKS);
    const api = context.find(PLATFORM_API);
    const peers = context.find(PEERS);
    if (!tasks.isEnabled('usage') || !api.isConfigured) {
      return {api: undefined};
    }
    const windowMs = settings.windowSeconds * MS_PER_SECOND;
    const {name, incarnation} = context.find(HOST_IDENTITY);
    const finalizeMs = settings.finalizeSeconds * MS_PER_SECOND;
    const shared = {name, incarnation, windowMs, finalizeMs, peers};
    const exchange = new UsageExchange({...shared, tasks, clock});
    const task: UsageTask = new UsageTask({
      exchange,
      api,
      times: {
        windowMs,
        finalizeMs,
        delayMs: settings.delaySeconds * MS_PER_SECOND,
      },
      getHostsHash: () => peers.recordsHash,
      metrics: new UsageMetrics(context.metrics, () => task.unsentCount),
      log,
    });
    peers.handlers.begun = exchange;
    const begunRequests = context.find(BEGUN_REQUESTS);
    begunRequests.listener = (team, at) => {
      exchange.recordBegun(team, at);
    };
    begunRequests.computeLatestCount = (sentAt) =>
      exchange.computeLatestCount(sentAt);
    tasks.register(task);
    let timer: NodeJS.Timeout | undefined;
    return {
      api: undefined,
      start() {
        timer = setInterval(() => {
          exchange.startTick();
        }, USAGE_TICK_MS);
        return Promise.resolve();
      },
      stop() {
        clearInterval(timer);
        // A planned stop would lose the counts since the last tick.
        exchange.startTick();
        return Promise.resolve();
      },
    };
  },
});
