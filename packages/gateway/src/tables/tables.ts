/** The service `tables`: this host's copies of the store's tables. */
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

/** The copies. */
export interface Tables {
  readonly configuration: TableFollower;
  readonly endpoints: TableFollower;
  readonly crashes: TableFollower;
}

/** The key of the service. */
export const TABLES_KEY = createServiceKey<Tables>('tables');

const SETTINGS = z.object({
  waitMs: z.coerce.number().int().min(100).default(700).meta({
    unit: 'ms',
    description:
      'The time between two answers of the store to hosts that read it, while nothing changes.',
  }),
  maxAgeMs: z.coerce.number().int().min(100).default(1100).meta({
    unit: 'ms',
    description:
      'How long ago a copy may have been certainly the newest before its host asks the store itself.',
  }),
  configurationPaceMs: z.coerce.number().int().min(0).default(250).meta({
    unit: 'ms',
    description: 'The least time between two reads of the configuration.',
  }),
  endpointsPaceMs: z.coerce.number().int().min(0).default(500).meta({
    unit: 'ms',
    description: 'The least time between two reads of the endpoints.',
  }),
  crashesWaitMs: z.coerce.number().int().min(100).default(5000).meta({
    unit: 'ms',
    description: 'As `waitMs`, for crashes, which change rarely.',
  }),
  crashesMaxAgeMs: z.coerce.number().int().min(100).default(8000).meta({
    unit: 'ms',
    description: 'As `maxAgeMs`, for crashes.',
  }),
  retryMs: z.coerce.number().int().min(10).default(300).meta({
    unit: 'ms',
    description: 'The time between tries while the store is away.',
  }),
});

/** How the tables are followed. */
export type TableSettings = z.infer<typeof SETTINGS>;

/** Settings as they are when none is given. */
export function createTableSettings(): TableSettings {
  return SETTINGS.parse({});
}

/** Creates the copies; none is followed before it is started. */
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
