/** When a host reads a whole table, and which reads it repeats. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRevision, type ReplicaRow} from '@irisdock/decisions';
import {RoarrLogger, SystemClock} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import type {
  StoreError,
  TableRows,
  TableStore,
} from '../src/model/table_store.js';
import {TableFollower} from '../src/tables/table_follower.js';
import {createTables, createTableSettings} from '../src/tables/tables.js';
import {ReadOnlyStore} from './fixtures/read_only_store.js';
import {VirtualClock} from './fixtures/virtual_clock.js';
import {
  VirtualStoreClient,
  STORE_ERRORS,
  VirtualStore,
} from './fixtures/virtual_store.js';

const OPTIONS = {waitMs: 20, maxAgeMs: 1000, paceMs: 0, retryMs: 10};

function createRows(revision: number): TableRows {
  return {rows: [{key: 'a', value: 'x', revision}], revision};
}

/** A store whose reads of whole tables return `revision` when resumed. */
class SlowStore extends ReadOnlyStore {
  reads = 0;
  revision = 5;
  private readonly waiting: (() => void)[] = [];

  async readAll(): Promise<Result<TableRows, StoreError>> {
    this.reads++;
    const part = createRows(this.revision);
    await new Promise<void>((resolve) => this.waiting.push(resolve));
    return ok(part);
  }

  async readChanges(
    _table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<TableRows, StoreError>> {
    await pause(waitMs);
    return ok({rows: [], revision: Math.max(after, this.revision)});
  }

  close(): void {
    this.resume();
  }

  /** Lets the pending reads return. */
  resume(): void {
    for (const resume of this.waiting.splice(0)) resume();
  }
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

function createFollower(store: SlowStore): TableFollower {
  const log = new RoarrLogger('test', 'off');
  const clock = new SystemClock();
  const follower = new TableFollower('endpoints', store, OPTIONS, clock, log);
  follower.setRole({rank: 0, count: 1});
  follower.start();
  return follower;
}

describe('a table that is read whole', () => {
  it('is not read again when another host sent a newer replica meanwhile', async () => {
    const store = new SlowStore();
    const follower = createFollower(store);
    await pause(20);
    assert.equal(store.reads, 1);
    follower.applyFromHost(createRows(9).rows, 9, true);
    store.resume();
    await pause(100);
    follower.stop();
    store.close();
    assert.equal(store.reads, 1);
    assert.equal(follower.replica.revision, 9);
  });

  it('keeps newer rows when the store returns a stale table', async () => {
    const store = new SlowStore();
    const follower = createFollower(store);
    await pause(20);
    follower.applyFromHost(createRows(9).rows, 9, true);
    store.resume();
    await pause(60);
    follower.stop();
    store.close();
    assert.equal(follower.replica.find('a')?.revision, 9);
  });
});

/*
 * Guards against a busy loop. Readers shift their polls by fractions of a ms,
 * and a store that takes a fractional wait as none responds at once: 36,939
 * calls in 46 s, where 449 are usual. A store that does not wait, for whatever
 * reason, must not be polled continuously.
 */
describe('a store that responds at once without a change', () => {
  const REST_MS = 10_000;
  const RANKS = [0, 1, 2];

  async function runReaders(
    wrap: (client: VirtualStoreClient) => TableStore,
  ): Promise<VirtualStoreClient[]> {
    const clock = new VirtualClock();
    const log = new RoarrLogger('test', 'off');
    const store = new VirtualStore(clock);
    store.put('configuration', 'config', 'x');
    const clients: VirtualStoreClient[] = [];
    const followers: TableFollower[] = [];
    for (const rank of RANKS) {
      const client = new VirtualStoreClient(store);
      const settings = createTableSettings();
      const tables = createTables(wrap(client), settings, clock, log);
      const follower = tables.configuration;
      follower.setRole({rank, count: RANKS.length});
      follower.start();
      clients.push(client);
      followers.push(follower);
    }
    for (const one of followers) {
      void one.storeUpdates.observe(({newest, revision}) => {
        const report = {newest, revision, ageMs: 0.25, isScheduledPoll: true};
        for (const other of followers) {
          if (other !== one) other.applyFreshness(report);
        }
      });
    }
    await clock.run(REST_MS);
    for (const follower of followers) follower.stop();
    return clients;
  }

  it('is asked for whole times only', async () => {
    const waits: number[] = [];
    await runReaders((client) => {
      const readChanges = client.readChanges.bind(client);
      client.readChanges = (table, after, waitMs) => {
        waits.push(waitMs);
        return readChanges(table, after, waitMs);
      };
      return client;
    });
    assert.deepEqual(
      waits.filter((waitMs) => !Number.isInteger(waitMs)),
      [],
    );
  });

  it('is asked no more often than while changes come', async () => {
    const clients = await runReaders((client) => {
      const readChanges = client.readChanges.bind(client);
      client.readChanges = (table, after) => readChanges(table, after, 0);
      return client;
    });
    const {configurationPaceMs} = createTableSettings();
    for (const {calls} of clients) {
      assert.ok(calls <= REST_MS / configurationPaceMs + 2, `${calls} calls`);
    }
  });
});

/** A store without change history; whole tables are returned when resumed. */
class RestoredStore extends ReadOnlyStore {
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly part: TableRows) {
    super();
  }

  async readAll(): Promise<Result<TableRows, StoreError>> {
    await new Promise<void>((resolve) => this.waiting.push(resolve));
    return ok(this.part);
  }

  readChanges(): Promise<Result<TableRows, StoreError>> {
    return Promise.resolve(err(STORE_ERRORS.create('store_history_lost')));
  }

  close(): void {
    this.resume();
  }

  /** Lets the pending reads return. */
  resume(): void {
    for (const answer of this.waiting.splice(0)) answer();
  }
}

/** A store whose history is lost; a read of the whole table fails once. */
class ForgetfulStore extends ReadOnlyStore {
  wholeReads = 0;

  constructor(private readonly part: TableRows) {
    super();
  }

  readAll(): Promise<Result<TableRows, StoreError>> {
    this.wholeReads++;
    return Promise.resolve(
      this.wholeReads === 1
        ? err(STORE_ERRORS.create('store_silent', {detail: 'simulated'}))
        : ok(this.part),
    );
  }

  readChanges(): Promise<Result<TableRows, StoreError>> {
    return Promise.resolve(err(STORE_ERRORS.create('store_history_lost')));
  }

  close(): void {
    this.wholeReads = 0;
  }
}

/*
 * Guards against a host that can't check its replica any more: it found the
 * history lost as a reader and stopped reading before it had the whole table.
 */
describe('a host that stopped reading before it reloaded a table', () => {
  it('reads the whole table when it checks its replica', async () => {
    const clock = new VirtualClock();
    const store = new ForgetfulStore(createRows(9));
    const log = new RoarrLogger('test', 'off');
    const follower = new TableFollower('endpoints', store, OPTIONS, clock, log);
    follower.applyFromHost(createRows(5).rows, 5, true);
    follower.setRole({rank: 0, count: 1});
    follower.start();
    await clock.run(1);
    assert.equal(store.wholeReads, 1);
    follower.setRole('listener');
    await clock.run(OPTIONS.retryMs);
    const update = await follower.pollStore();
    follower.stop();
    assert.equal(update?.newest, 9);
    assert.equal(follower.replica.revision, 9);
    assert.equal(follower.getAgeMs(clock.getNow()), 0);
  });
});

describe('rows that a restored store lost', () => {
  const era = 1;
  const held: ReplicaRow[] = [
    {key: 'a', value: 'x', revision: 4},
    {key: 'b', value: 'y', revision: 5},
  ];
  const kept = [{key: 'a', value: 'x', revision: createRevision(era, 4)}];
  const restored = {rows: kept, revision: createRevision(era, 4)};

  function createFixture(): {
    readonly clock: VirtualClock;
    readonly store: RestoredStore;
    readonly follower: TableFollower;
  } {
    const clock = new VirtualClock();
    const store = new RestoredStore(restored);
    const log = new RoarrLogger('test', 'off');
    const follower = new TableFollower('endpoints', store, OPTIONS, clock, log);
    follower.applyFromHost(held, 5, true);
    return {clock, store, follower};
  }

  async function checkKept({
    clock,
    store,
    follower,
  }: ReturnType<typeof createFixture>): Promise<void> {
    assert.equal(follower.replica.find('b')?.value, 'y');
    for (let steps = 0; steps < 40; steps++) {
      await clock.run(100);
      store.resume();
    }
    assert.equal(follower.replica.find('b')?.value, undefined);
    follower.stop();
    store.close();
  }

  // Guards against endpoints that are removed before they can register again.
  it('are kept for a while when another host reports the restore first', async () => {
    const fixture = createFixture();
    const {clock, store, follower} = fixture;
    follower.setRole({rank: 0, count: 1});
    follower.start();
    await clock.run(20);
    const {revision} = restored;
    follower.applyFreshness({
      newest: 5,
      revision,
      ageMs: 0,
      isScheduledPoll: true,
    });
    store.resume();
    await clock.run(20);
    await checkKept(fixture);
  });

  it('are kept for a while when a host without them sends its table', async () => {
    const fixture = createFixture();
    const {clock, follower} = fixture;
    follower.setRole('listener');
    follower.start();
    follower.applyFromHost(kept, restored.revision, true);
    await clock.run(20);
    await checkKept(fixture);
  });
});
