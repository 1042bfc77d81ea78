/**
 * The service `crashes`: which contents end the endpoints that run them.
 * docs/design/crashing_requests.md.
 */
import {CrashLedger, type ReplicaRow} from '@irisdock/decisions';
import {createService, createServiceKey} from '@irisdock/kernel';
import {Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import {CrashRecords} from '../serving/crash_records.js';
import {CrashRowIndex} from './crash_row_index.js';
import {CrashBroadcaster} from './crash_broadcaster.js';
import {CrashStore} from './crash_store.js';
import {HOST_IDENTITY} from './identity.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import {TABLES_KEY} from '../tables/tables.js';

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
    const notices = new CrashBroadcaster((datagram) => {
      peers.sendToAll(datagram);
    });
    const index = new CrashRowIndex();
    const kept = new CrashStore({
      host: context.find(HOST_IDENTITY).name,
      store: context.find(STORE),
      clock,
      log,
      hasRow: (key) => table.replica.isInCurrentEra(key),
      listKeys: (content) => index.listKeys(content),
    });
    api.publisher = {
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
    peers.handlers.crashes = api;
    applyRows(table.replica.listAll(), index, api);
    void table.changes.observe((rows) => {
      applyRows(rows, index, api);
    });
    void table.restored.observe(() => {
      if (peers.isFirstReader) kept.saveCrashes(index.listCrashes());
    });
    createGauge(api, metrics);
    const timer = setInterval(() => {
      api.dropExpired();
      if (peers.isFirstReader) deleteForgotten(index, api, kept);
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

function applyRows(
  rows: readonly ReplicaRow[],
  index: CrashRowIndex,
  records: CrashRecords,
): void {
  for (const {crash, isPresent: isThere} of index.apply(rows)) {
    if (isThere) records.acceptCrashes([crash]);
    else records.dropCrash(crash);
  }
}

/** Deletes what no host remembers; one host does it for all. */
function deleteForgotten(
  index: CrashRowIndex,
  records: CrashRecords,
  kept: CrashStore,
): void {
  for (const content of index.listContents()) {
    if (records.countCrashes(content) === 0) kept.deleteCrashes(content);
  }
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
        this.inc({verdict: records.getVerdict(content)});
      }
    },
  });
}
