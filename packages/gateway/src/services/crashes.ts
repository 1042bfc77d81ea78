/**
 * The service `crashes`: which request contents crash the endpoints they run
 * on. docs/design/crashing_requests.md.
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

/** The interval between removals of expired crashes, in ms. */
const SWEEP_MS = 5000;
/** The maximum number of contents; some 2 MB with six crashes each. */
const MAX_CONTENTS = 5000;

const SETTINGS = z.object({
  keepSeconds: z.coerce.number().min(1).default(600).meta({
    unit: 's',
    description:
      'How long after its last crash a request that crashed endpoints is remembered.',
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
    const publisher = new CrashBroadcaster((datagram) => {
      peers.sendToAll(datagram);
    });
    const index = new CrashRowIndex();
    const store = new CrashStore({
      host: context.find(HOST_IDENTITY).name,
      store: context.find(STORE),
      clock,
      log,
      hasRow: (key) => table.replica.isInCurrentEra(key),
      listKeys: (content) => index.listKeys(content),
    });
    api.publisher = {
      publishCrash: (crash, isUrgent) => {
        publisher.publishCrash(crash, isUrgent);
      },
      publishCleared: (content) => {
        publisher.publishCleared(content);
      },
      saveCrashes: (crashes) => {
        store.saveCrashes(crashes);
      },
      deleteCrashes: (content) => {
        store.deleteCrashes(content);
      },
    };
    peers.handlers.crashes = api;
    applyRows(table.replica.listAll(), index, api);
    void table.changes.observe((rows) => {
      applyRows(rows, index, api);
    });
    void table.restored.observe(() => {
      if (peers.isFirstReader) store.saveCrashes(index.listCrashes());
    });
    createGauge(api, metrics);
    const timer = setInterval(() => {
      api.dropExpired();
      if (peers.isFirstReader) deleteForgotten(index, api, store);
    }, SWEEP_MS);
    timer.unref();
    return {
      api,
      async stop() {
        clearInterval(timer);
        publisher.close();
        await store.stop();
      },
    };
  },
});

function applyRows(
  rows: readonly ReplicaRow[],
  index: CrashRowIndex,
  records: CrashRecords,
): void {
  for (const {crash, isPresent} of index.apply(rows)) {
    if (isPresent) records.acceptCrashes([crash]);
    else records.dropCrash(crash);
  }
}

/** Deletes rows of contents without known crashes; one host does it for all. */
function deleteForgotten(
  index: CrashRowIndex,
  records: CrashRecords,
  store: CrashStore,
): void {
  for (const content of index.listContents()) {
    if (records.countCrashes(content) === 0) store.deleteCrashes(content);
  }
}

function createGauge(records: CrashRecords, registry: Registry): void {
  new Gauge({
    name: 'irisdock_gateway_crash_contents',
    help: 'Request contents that crashed endpoints, a count, by verdict.',
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
