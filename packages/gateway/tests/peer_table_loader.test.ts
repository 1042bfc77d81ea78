/**
 * A host that knows of a newer change gets it from whoever has it, whatever
 * became of others that told of something newer.
 *
 * Five hosts of a deployment asked one address for its tables and were refused
 * (`A host did not give its tables.`, `connect ECONNREFUSED`), as its process
 * was gone; in a play of the same deployment a dark host was asked 11 times,
 * 0.8 s each. The loader keeps one mark a table, kept by a lost host until
 * somebody tells of more, asks for all tables at the address of the last mark
 * only, and makes one call at a time. So a lost host's mark on a table that
 * rarely changes hides who has the new configuration.
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

const LOST = '10.0.0.1:1';
const GOOD = '10.0.0.2:1';
const TIMEOUT_MS = 800;
const BEAT_MS = 300;
const OLD = {configuration: 1, endpoints: 1, crashes: 1};

function createAnswer(revision: number): PeerTables {
  const rows = [{key: 'config', value: `${revision}`, revision}];
  const table = 'configuration';
  const part = {table, rows, revision, ageMs: 0, isWhole: false} as const;
  return {hosts: [], parts: [part]};
}

interface Loading {
  readonly clock: VirtualClock;
  readonly tables: Tables;
  readonly loader: PeerTableLoader;
  readonly asked: string[];
}

/** A loader beside a host that answers and one that is dark. */
function createLoading(): Loading {
  const clock = new VirtualClock();
  const log = new RoarrLogger('test', 'off');
  const door = new VirtualStoreClient(new VirtualStore(clock));
  const tables = createTables(door, createTableSettings(), clock, log);
  for (const name of REPLICATED_TABLES) {
    tables[name].applyFromHost([{key: 'a', value: 'x', revision: 1}], 1, true);
  }
  const asked: string[] = [];
  const load = async (address: string): Promise<Result<PeerTables, string>> => {
    asked.push(address);
    if (address === GOOD) return ok(createAnswer(20));
    await clock.wait(TIMEOUT_MS);
    return err('no answer');
  };
  const source = {load, close: () => undefined};
  const accept = (): undefined => undefined;
  const loader = new PeerTableLoader(tables, source, clock, log, accept);
  return {clock, tables, loader, asked};
}

describe('a newer configuration', () => {
  it('is asked for where it is, beside a lost host that told of other tables', async () => {
    const {clock, tables, loader, asked} = createLoading();
    loader.recordRevisions({...OLD, crashes: 50}, LOST, clock.getNow());
    loader.recordRevisions({...OLD, configuration: 20}, GOOD, clock.getNow());
    for (let beat = 0; beat < 10; beat++) {
      await clock.run(BEAT_MS);
      loader.loadNewer(clock.getNow());
    }
    await clock.run(BEAT_MS);
    const found = tables.configuration.replica.find('config');
    assert.equal(found?.revision, 20, `asked ${asked.join(', ')}`);
    // A host that did not answer is not asked again until it tells of more.
    assert.equal(asked.filter((address) => address === LOST).length, 1);
  });

  it('is asked of a second host when the first does not answer at once', async () => {
    const {clock, tables, loader, asked} = createLoading();
    loader.recordRevisions({...OLD, configuration: 20}, GOOD, clock.getNow());
    // Who told last is asked first, and is dark.
    void loader.loadChange('configuration', 20, LOST);
    await clock.run(TIMEOUT_MS / 2);
    assert.deepEqual(asked, [LOST, GOOD]);
    assert.equal(tables.configuration.replica.find('config')?.revision, 20);
  });
});
