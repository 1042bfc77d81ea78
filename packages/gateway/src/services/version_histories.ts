/**
 * The service `versionHistory`: the software versions of each service over
 * time. docs/design/software_versions.md.
 */
import {
  createService,
  createServiceKey,
  type Random,
  type ServiceContext,
} from '@irisdock/kernel';
import {Gauge} from 'prom-client';
import * as z from 'zod';
import type {VersionHistory} from '../serving/version_history.js';
import {getRandomFraction} from '../serving/serving_parts.js';
import type {StoreStatus} from '../tables/store_status.js';
import {TABLES_KEY, type Tables} from '../tables/tables.js';
import {GATEWAY_CONFIGURATION} from './configuration.js';
import {EarlierRelease} from './earlier_release.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';
import {HistoryCurrency} from './history_currency.js';
import {HOST_IDENTITY} from './identity.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {RowWriter} from './row_writer.js';
import {
  KEEP_VERSION_MS,
  ServiceVersions,
  type VersionWriters,
} from './service_versions.js';
import {STORE} from './store.js';
import {StoreConfirmation} from './store_confirmation.js';

/** The key of the service. */
export const VERSION_HISTORY =
  createServiceKey<VersionHistory>('versionHistory');

/** The interval between checks of what has to be saved, in ms. */
const SWEEP_MS = 1000;
/**
 * The interval between the first checks, until the tables are read, in ms. A
 * deployment that starts for the first time does not know its past before its
 * versions have rows.
 */
const LOADING_MS = 50;
/** The retry delay after a failed call, in ms. */
const RETRY_MS = 2000;
/**
 * A host that is not the first reader leaves a row to others for this time, in
 * ms, and up to the second time more for each host, so that few write it.
 */
const MIN_DELAY_MS = 2000;
const DELAY_PER_HOST_MS = 200;
const MS_PER_SECOND = 1000;

/** Declares the service. */
export const VERSION_HISTORY_SERVICE = createService({
  key: VERSION_HISTORY,
  settings: z.object({}),
  needs: [
    STORE,
    TABLES_KEY,
    PEERS,
    GATEWAY_CONFIGURATION,
    GATEWAY_ENDPOINTS,
    HOST_IDENTITY,
  ],
  create(context) {
    const {clock, log} = context;
    const writer = new RowWriter({
      table: 'versions',
      store: context.find(STORE),
      clock,
      log,
      retryMs: RETRY_MS,
    });
    const api = createVersions(context, writer);
    watchChanges(context, api);
    const stopTimers = startTimers(api);
    createGauges(context, api, context.find(PEERS).standing);
    return {
      api,
      async stop() {
        stopTimers();
        await writer.stop();
      },
    };
  },
});

function createVersions(
  context: ServiceContext,
  writer: RowWriter,
): ServiceVersions {
  const {clock, log, random} = context;
  const tables = context.find(TABLES_KEY);
  const peers = context.find(PEERS);
  const configuration = context.find(GATEWAY_CONFIGURATION);
  const store = context.find(STORE);
  const earlier = new EarlierRelease({store, clock, log});
  return new ServiceVersions({
    host: context.find(HOST_IDENTITY).name,
    clock,
    endpoints: context.find(GATEWAY_ENDPOINTS),
    getRouting: () => configuration.streamRouting,
    currency: createCurrency(tables, peers),
    writer,
    writers: createWriters(peers, random),
    hasRow: (key) => tables.versions.replica.isInCurrentEra(key),
    findEarlierRelease: () => earlier.find(),
    confirmation: new StoreConfirmation({
      read: () => readTables(tables),
      isStoreAway: (now) => peers.standing.hasStoreFailedRecently(now),
      clock,
      log,
    }),
  });
}

/** Applies the rows that are known and every change that the history shows. */
function watchChanges(context: ServiceContext, api: ServiceVersions): void {
  const {versions, endpoints} = context.find(TABLES_KEY);
  api.applyRows(versions.replica.listAll());
  void versions.changes.observe((rows) => {
    api.applyRows(rows);
  });
  void versions.restored.observe(() => {
    api.handleRestored();
  });
  void endpoints.changes.observe(() => {
    api.update();
  });
  void context.find(GATEWAY_CONFIGURATION).changes.observe(() => {
    api.update();
  });
}

/** Starts the checks; the function that is returned stops them. */
function startTimers(api: ServiceVersions): () => void {
  const timer = setInterval(() => {
    api.runSweep();
  }, SWEEP_MS);
  timer.unref();
  const loading = setInterval(() => {
    if (api.hasBegun) clearInterval(loading);
    api.update();
  }, LOADING_MS);
  loading.unref();
  return () => {
    clearInterval(timer);
    clearInterval(loading);
  };
}

/** Reads what changed in both tables; false if the store did not respond. */
async function readTables({endpoints, versions}: Tables): Promise<boolean> {
  const reads = [endpoints.pollStore(), versions.pollStore()];
  const updates = await Promise.all(reads);
  return updates.every((update) => update !== undefined);
}

function createCurrency(tables: Tables, peers: Peers): HistoryCurrency {
  return new HistoryCurrency({
    isLoaded: (name) => tables[name].replica.isLoaded,
    getAgeMs: (name, now) => peers.standing.getAgeMs(name, now),
    listAlive: () => peers.listAlive().map(({record}) => record),
    keepMs: KEEP_VERSION_MS,
  });
}

function createWriters(peers: Peers, random: Random): VersionWriters {
  const fraction = getRandomFraction(random);
  return {
    isFirst: () => peers.isFirstReader,
    getDelayMs: () => {
      const spreadMs = peers.countPossiblyAlive() * DELAY_PER_HOST_MS;
      return MIN_DELAY_MS + fraction * spreadMs;
    },
    isStoreAway: (now) => peers.standing.hasStoreFailedRecently(now),
  };
}

function createGauges(
  {clock, metrics}: ServiceContext,
  versions: ServiceVersions,
  standing: StoreStatus,
): void {
  new Gauge({
    name: 'irisdock_gateway_software_versions',
    help: 'Software versions whose streams may be resumed, a count, by whether the store is known to have them.',
    labelNames: ['state'],
    registers: [metrics],
    collect() {
      const {saved, unsaved} = versions.countVersions();
      this.set({state: 'saved'}, saved);
      this.set({state: 'unsaved'}, unsaved);
    },
  });
  new Gauge({
    name: 'irisdock_gateway_version_history_age_seconds',
    help: 'The time since the history of software versions was last known to be current, in s; 60 at most.',
    registers: [metrics],
    collect() {
      this.set(standing.getAgeMs('versions', clock.getNow()) / MS_PER_SECOND);
    },
  });
}
