/** The service `tables`: this host's copies of the store's tables. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {FOLLOWED_TABLES, type TableName} from '../model/watched_table.js';
import {STORE} from './store.js';
import {TableFollower, type FollowerOptions} from './table_follower.js';

/** The copies. */
export interface Tables {
  readonly configuration: TableFollower;
  readonly endpoints: TableFollower;
  readonly crashes: TableFollower;
}

/** The key of the service. */
export const TABLES_KEY = createServiceKey<Tables>('tables');

const SETTINGS = z.object({
  waitMs: z.coerce.number().int().min(100).default(1500).meta({
    unit: 'ms',
    description: 'How long the store may wait for a change.',
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
    description: 'The same for crashes, which change rarely.',
  }),
  retryMs: z.coerce.number().int().min(10).default(300).meta({
    unit: 'ms',
    description: 'The time between tries while the store is away.',
  }),
});

/** Declares the service. */
export const TABLES_SERVICE = createService({
  key: TABLES_KEY,
  settings: SETTINGS,
  needs: [STORE],
  create(context, settings) {
    const store = context.find(STORE);
    const createFollower = (
      name: TableName,
      paceMs: number,
      waitMs = settings.waitMs,
    ): TableFollower => {
      const {retryMs} = settings;
      const options: FollowerOptions = {waitMs, paceMs, retryMs};
      return new TableFollower(
        name,
        store,
        options,
        context.clock,
        context.log,
      );
    };
    const api: Tables = {
      configuration: createFollower(
        'configuration',
        settings.configurationPaceMs,
      ),
      endpoints: createFollower('endpoints', settings.endpointsPaceMs),
      crashes: createFollower(
        'crashes',
        settings.configurationPaceMs,
        settings.crashesWaitMs,
      ),
    };
    return {
      api,
      start() {
        for (const name of FOLLOWED_TABLES) api[name].start();
        return Promise.resolve();
      },
      stop() {
        for (const name of FOLLOWED_TABLES) api[name].stop();
        return Promise.resolve();
      },
    };
  },
});
