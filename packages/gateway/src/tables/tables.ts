/** The service `tables`: this host's replicas of the store's tables. */
import {
  createService,
  createServiceKey,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import * as z from 'zod';
import {
  REPLICATED_TABLES,
  type ReplicatedTable,
  type TableStore,
} from '../model/table_store.js';
import {STORE} from '../services/store.js';
import type {FollowerOptions} from './follower_options.js';
import {TableFollower} from './table_follower.js';

/** The replicated tables. */
export interface Tables {
  readonly configuration: TableFollower;
  readonly endpoints: TableFollower;
  readonly crashes: TableFollower;
  readonly versions: TableFollower;
}

/** The key of the service. */
export const TABLES_KEY = createServiceKey<Tables>('tables');

const SETTINGS = z.object({
  waitMs: z.coerce.number().int().min(100).default(700).meta({
    unit: 'ms',
    description:
      'The time between two responses of the store to the reader hosts while nothing changes.',
  }),
  maxAgeMs: z.coerce.number().int().min(100).default(1100).meta({
    unit: 'ms',
    description:
      'The longest time since a table replica was last known to be current before its host polls the store itself.',
  }),
  configurationPaceMs: z.coerce.number().int().min(0).default(250).meta({
    unit: 'ms',
    description: 'The minimum time between two reads of the configuration.',
  }),
  endpointsPaceMs: z.coerce.number().int().min(0).default(500).meta({
    unit: 'ms',
    description: 'The minimum time between two reads of the endpoints.',
  }),
  crashesWaitMs: z.coerce.number().int().min(100).default(5000).meta({
    unit: 'ms',
    description: 'As `waitMs`, for crashes, which change rarely.',
  }),
  crashesMaxAgeMs: z.coerce.number().int().min(100).default(8000).meta({
    unit: 'ms',
    description: 'As `maxAgeMs`, for crashes.',
  }),
  versionsWaitMs: z.coerce.number().int().min(100).default(10_000).meta({
    unit: 'ms',
    description: 'As `waitMs`, for the history of software versions.',
  }),
  versionsMaxAgeMs: z.coerce.number().int().min(100).default(22_000).meta({
    unit: 'ms',
    description: 'As `maxAgeMs`, for the history of software versions.',
  }),
  retryMs: z.coerce.number().int().min(10).default(300).meta({
    unit: 'ms',
    description: 'The time between retries while the store is unavailable.',
  }),
});

/** The settings of the service. */
export type TableSettings = z.infer<typeof SETTINGS>;

/** Creates the default settings. */
export function createTableSettings(): TableSettings {
  return SETTINGS.parse({});
}

/** Creates the followers of the tables, not started yet. */
export function createTables(
  store: TableStore,
  settings: TableSettings,
  clock: Clock,
  log: Logger,
): Tables {
  const {waitMs, maxAgeMs, retryMs} = settings;
  const {configurationPaceMs, endpointsPaceMs} = settings;
  const createFollower = (
    name: ReplicatedTable,
    options: FollowerOptions,
  ): TableFollower => new TableFollower(name, store, options, clock, log);
  return {
    configuration: createFollower('configuration', {
      waitMs,
      maxAgeMs,
      paceMs: configurationPaceMs,
      retryMs,
    }),
    endpoints: createFollower('endpoints', {
      waitMs,
      maxAgeMs,
      paceMs: endpointsPaceMs,
      retryMs,
    }),
    crashes: createFollower('crashes', {
      waitMs: settings.crashesWaitMs,
      maxAgeMs: settings.crashesMaxAgeMs,
      paceMs: configurationPaceMs,
      retryMs,
    }),
    versions: createFollower('versions', {
      waitMs: settings.versionsWaitMs,
      maxAgeMs: settings.versionsMaxAgeMs,
      paceMs: configurationPaceMs,
      retryMs,
    }),
  };
}

/** Declares the service. */
export const TABLES_SERVICE = createService({
  key: TABLES_KEY,
  settings: SETTINGS,
  needs: [STORE],
  create(context, settings) {
    const {clock, log} = context;
    const api = createTables(context.find(STORE), settings, clock, log);
    return {
      api,
      start() {
        for (const name of REPLICATED_TABLES) api[name].start();
        return Promise.resolve();
      },
      stop() {
        for (const name of REPLICATED_TABLES) api[name].stop();
        return Promise.resolve();
      },
    };
  },
});
