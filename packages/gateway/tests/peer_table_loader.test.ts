/**
 * A host that knows of a newer change loads it from a host that has it, also
 * when other hosts that reported newer changes are lost.
 *
 * Guards against a loader that remembers only one source and asks one host at a
 * time: a lost host that last reported a change of a rarely changing table was
 * then asked again and again (11 times, 0.8 s each), while the host that had
 * the new configuration was not asked.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type {PeerTables} from '../src/model/peer_tables_message.js';
import {REPLICATED_TABLES} from '../src/model/table_store.js';
import {PeerTableLoader} from '../src/tables/peer_table_loader.js';
import {
  createTables,
  createTableSettings,
  type Tables,
} from '../src/tables/tables.js';
import {VirtualClock} from './fixtures/virtual_clock.js';
import {VirtualStoreClient, VirtualStore} from './fixtures/virtual_store.js';

const LOST_HOST = '10.0.0.1:1';
const LIVE_HOST = '10.0.0.2:1';
const TIMEOUT_MS = 800;
const HEARTBEAT_MS = 300;
const OLD_REVISIONS = {configuration: 1, endpoints: 1, crashes: 1, versions: 1};

function createResponse(revision: number): PeerTables {
  const rows = [{key: 'config', value: `${revision}`, revision}];
  const table = 'configuration';
  const part = {table, rows, revision, ageMs: 0, isWhole: false} as const;
  return {hosts: [], parts: [part]};
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly tables: Tables;
  readonly loader: PeerTableLoader;
  readonly asked: string[];
}

/**
 * A loader with one host that responds and one that does not.
 *
 * @param isLoaded Whether the loader's host has its tables already.
 */
function createFixture(isLoaded = true): Fixture {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const client = new VirtualStoreClient(new VirtualStore(clock));
  const tables = createTables(client, createTableSettings(), clock, log);
  for (const name of isLoaded ? REPLICATED_TABLES : []) {
    tables[name].applyFromHost([{key: 'a', value: 'x', revision: 1}], 1, true);
  }
  const asked: string[] = [];
  const load = async (address: string): Promise<Result<PeerTables, string>> => {
    asked.push(address);
    if (address === LIVE_HOST) return ok(createResponse(20));
    await clock.wait(TIMEOUT_MS);
    return err('no answer');
  };
  const source = {load, close: () => undefined};
  const acceptHosts = (): undefined => undefined;
  const loader = new PeerTableLoader(tables, source, clock, log, acceptHosts);
  return {clock, tables, loader, asked};
}

describe('a newer configuration', () => {
  it('is loaded from its host, beside a lost host that reported other tables', async () => {
    const {clock, tables, loader, asked} = createFixture();
    loader.recordRevisions(
      {...OLD_REVISIONS, crashes: 50},
      LOST_HOST,
      clock.getNow(),
    );
    loader.recordRevisions(
      {...OLD_REVISIONS, configuration: 20},
      LIVE_HOST,
      clock.getNow(),
    );
    for (let round = 0; round < 10; round++) {
      await clock.run(HEARTBEAT_MS);
      loader.loadNewer(clock.getNow());
    }
    await clock.run(HEARTBEAT_MS);
    const found = tables.configuration.replica.find('config');
    assert.equal(found?.revision, 20, `asked ${asked.join(', ')}`);
    // A host that did not respond is asked again only after a newer report.
    assert.equal(asked.filter((address) => address === LOST_HOST).length, 1);
  });

  it('is asked of a second host when the first does not respond at once', async () => {
    const {clock, tables, loader, asked} = createFixture();
    loader.recordRevisions(
      {...OLD_REVISIONS, configuration: 20},
      LIVE_HOST,
      clock.getNow(),
    );
    // The host that reported last is asked first, and does not respond.
    void loader.loadChange('configuration', 20, LOST_HOST);
    await clock.run(TIMEOUT_MS / 2);
    assert.deepEqual(asked, [LOST_HOST, LIVE_HOST]);
    assert.equal(tables.configuration.replica.find('config')?.revision, 20);
  });
});

describe('a host without tables', () => {
  const emptyRevisions = {
    configuration: 0,
    endpoints: 0,
    crashes: 0,
    versions: 0,
  };

  // Guards against a host that never becomes ready: the revision of an empty
  // table is not newer than that of a table that was never loaded.
  it('loads them from a host whose tables are empty', async () => {
    const {clock, loader, asked} = createFixture(false);
    loader.recordRevisions(emptyRevisions, LIVE_HOST, clock.getNow());
    loader.loadNewer(clock.getNow());
    await clock.run(HEARTBEAT_MS);
    assert.equal(asked.length, REPLICATED_TABLES.length);
  });

  it('does not ask a host that is starting and has none itself', async () => {
    const {clock, loader, asked} = createFixture(false);
    const now = clock.getNow();
    loader.recordRevisions(emptyRevisions, LIVE_HOST, now, true);
    loader.loadNewer(now);
    await clock.run(HEARTBEAT_MS);
    assert.deepEqual(asked, []);
  });
});
