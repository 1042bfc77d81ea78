/**
 * The service `crashes`: which contents end the endpoints that run them.
 * docs/design/crashing_requests.md.
 */
import {CrashLedger, type ReplicaRow} from '@irisdock/decisions';
import {createService, createServiceKey} from '@irisdock/kernel';
import {Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import {parseCrashKey} from '../model/crash_row.js';
import {CrashRecords} from '../serving/crash_records.js';
import {CrashNotices} from './crash_notices.js';
import {CrashStore} from './crash_store.js';
import {HOST_IDENTITY} from './identity.js';
import type {Peers} from './peer_hosts.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import type {TableFollower} from './table_follower.js';
import {TABLES_KEY} from './tables.js';

/** The key of the service. */
export const CRASHES = createServiceKey<CrashRecords>('crashes');

/** How often it is looked for what is to be forgotten, in ms. */
const SWEEP_MS = 5000;
/** Contents that are remembered; some 2 MB with six crashes each. */
const MAX_CONTENTS = 5000;

const SETTINGS = z.object({
  keepSeconds: z.coerce.number().min(1).default(600).meta({
    unit: 's',
    description:
      'For how long after its last crash a request that ended endpoints is remembered.',
  }),
});

/** Declares the service. */
export const CRASHES_SERVICE = createService({
  key: CRASHES,
  settings: SETTINGS,
  needs: [STORE, TABLES_KEY, PEERS, HOST_IDENTITY],
  create(context, settings) {
    const {clock, log, metrics} = context;
    const peers = context.find(PEERS);
    const {crashes: table} = context.find(TABLES_KEY);
    const keepMs = settings.keepSeconds * 1000;
    const ledger = new CrashLedger({keepMs, maxContents: MAX_CONTENTS});
    const api = new CrashRecords({ledger, clock, log});
    const notices = new CrashNotices((datagram) => {
      peers.sendToAll(datagram);
    });
    const kept = new CrashStore({
      host: context.find(HOST_IDENTITY).name,
      store: context.find(STORE),
      clock,
      log,
      hasRow: (key) => table.replica.find(key)?.value !== undefined,
      listKeys: (content) => listKeys(table, content),
    });
    api.spreader = {
      publishCrash: (crash, isUrgent) => {
        notices.publishCrash(crash, isUrgent);
      },
      publishCleared: (content) => {
        notices.publishCleared(content);
      },
      saveCrashes: (crashes) => {
        kept.saveCrashes(crashes);
      },
      deleteCrashes: (content) => {
        kept.deleteCrashes(content);
      },
    };
    peers.crashBoard = api;
    applyRows(table.replica.listAll(), api);
    void table.news.observe((rows) => {
      applyRows(rows, api);
    });
    createGauge(api, metrics);
    const timer = setInterval(() => {
      api.dropExpired();
      deleteForgotten(table, api, kept, peers);
    }, SWEEP_MS);
    timer.unref();
    return {
      api,
      async stop() {
        clearInterval(timer);
        notices.close();
        await kept.stop();
      },
    };
  },
});

function applyRows(rows: readonly ReplicaRow[], records: CrashRecords): void {
  for (const {key, value} of rows) {
    const crash = parseCrashKey(key);
    if (crash === undefined) continue;
    if (value === undefined) records.dropCrash(crash);
    else records.acceptCrashes([crash]);
  }
}

function listKeys(table: TableFollower, content: string): string[] {
  const keys: string[] = [];
  for (const {key} of table.replica.listAll()) {
    if (parseCrashKey(key)?.content === content) keys.push(key);
  }
  return keys;
}

/** Deletes what no host remembers; one host does it for all. */
function deleteForgotten(
  table: TableFollower,
  records: CrashRecords,
  kept: CrashStore,
  peers: Peers,
): void {
  if (!peers.isFirstReader) return;
  const forgotten = new Set<string>();
  for (const {key} of table.replica.listAll()) {
    const content = parseCrashKey(key)?.content;
    if (content === undefined || records.countCrashes(content) > 0) continue;
    forgotten.add(content);
  }
  for (const content of forgotten) kept.deleteCrashes(content);
}

function createGauge(records: CrashRecords, registry: Registry): void {
  new Gauge({
    name: 'irisdock_gateway_crash_contents',
    help: 'Contents under which endpoints ended, a count, by what is done.',
    labelNames: ['verdict'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {content} of records.listContents()) {
        this.inc({verdict: records.decide(content)});
      }
    },
  });
}
