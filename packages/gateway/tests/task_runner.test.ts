/**
 * Tests what hosts do with a task when one is stopped, restarted or left by the
 * platform's API, or when the store is away: another host goes on, later calls
 * carry higher fencing tokens, and the store gets few calls.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoarrLogger} from '@irisdock/kernel';
import {err, ok} from 'neverthrow';
import type {CallOutcome} from '../src/model/platform_api.js';
import type {
  HeldLease,
  SingletonTask,
  TaskActivity,
  TaskName,
  TaskStore,
} from '../src/model/singleton_task.js';
import {TaskExclusion} from '../src/services/task_exclusion.js';
import {Tasks} from '../src/services/tasks.js';
import {SimulatedTaskStore} from './fixtures/task_store.js';
import {VirtualClock} from './fixtures/virtual_clock.js';
import {STORE_ERRORS} from './fixtures/virtual_store.js';

const LEASE_MS = 3000;
const TAKEOVER_MS = 8000;
const STORE_MS = 5;
const HOSTS = ['a', 'b', 'c', 'd', 'e'];

interface SentCall {
  readonly host: string;
  readonly fence: number;
  readonly at: number;
}

/** A host with one task that makes a call with each step. */
class TaskHost implements SingletonTask {
  readonly name = 'usage';
  readonly tasks: Tasks;
  readonly exclusion: TaskExclusion;
  isLeaving = false;
  isApiSilent = false;
  startFailures = 0;
  starts = 0;
  stops = 0;
  storeCalls = 0;

  constructor(
    private readonly fleet: TaskFleet,
    readonly host: string,
    names: readonly TaskName[],
    incarnation: number,
  ) {
    this.exclusion = new TaskExclusion(fleet.clock);
    this.tasks = new Tasks({
      names,
      leaseMs: LEASE_MS,
      identity: {name: host, incarnation},
      store: this.createStore(),
      listHosts: () => fleet.listTaskHosts(),
      isLeaving: () => this.isLeaving,
      exclusion: this.exclusion,
      clock: fleet.clock,
      log: new RoarrLogger('test', 'error'),
      metrics: {recordCall: () => undefined, recordLoss: () => undefined},
    });
    this.tasks.register(this);
  }

  start(): Promise<boolean> {
    this.starts++;
    return Promise.resolve(this.startFailures-- <= 0);
  }

  async step(lease: HeldLease): Promise<void> {
    await lease.sendCall(async (authority): Promise<CallOutcome> => {
      const {fence, timeoutMs} = authority;
      const {clock, calls} = this.fleet;
      if (!authority.isValid()) return {kind: 'not-sent', detail: ''};
      calls.push({host: this.host, fence, at: clock.getNow()});
      await clock.wait(this.isApiSilent ? timeoutMs : STORE_MS);
      if (!this.isApiSilent) return {kind: 'accepted'};
      return {kind: 'unanswered', detail: 'simulated'};
    });
  }

  listRenewalChanges(): [] {
    return [];
  }

  getActivity(): TaskActivity {
    return {windows: [], orders: []};
  }

  stop(): void {
    this.stops++;
  }

  private createStore(): TaskStore {
    const {store, clock} = this.fleet;
    const silent = STORE_ERRORS.create('store_silent', {detail: 'simulated'});
    const conflict = STORE_ERRORS.create('store_conflict');
    const send = async (): Promise<boolean> => {
      this.storeCalls++;
      await clock.wait(this.fleet.isStoreAway ? 500 : STORE_MS);
      return !this.fleet.isStoreAway;
    };
    return {
      readTaskRows: async (prefix) =>
        (await send()) ? ok(store.read(prefix)) : err(silent),
      commitTaskRows: async (conditions, changes) => {
        if (!(await send())) return err(silent);
        const revision = store.commit(conditions, changes);
        return revision === undefined ? err(conflict) : ok(revision);
      },
    };
  }
}

/** Hosts around one store. */
class TaskFleet {
  readonly clock = new VirtualClock();
  readonly store = new SimulatedTaskStore();
  readonly calls: SentCall[] = [];
  readonly hosts = new Map<string, TaskHost>();
  isStoreAway = false;
  private incarnation = 0;

  constructor(names: readonly TaskName[] = ['usage']) {
    for (const host of HOSTS) this.start(host, names);
  }

  start(host: string, names: readonly TaskName[] = ['usage']): TaskHost {
    const made = new TaskHost(this, host, names, ++this.incarnation);
    this.hosts.set(host, made);
    return made;
  }

  /** The host that made the last call. */
  get last(): TaskHost {
    const host = this.hosts.get(this.calls.at(-1)?.host ?? '');
    assert.ok(host, 'no host made a call');
    return host;
  }

  /** The hosts that may hold tasks by what they say of themselves. */
  listTaskHosts(): string[] {
    return HOSTS.filter(
      (host) => this.hosts.get(host)?.exclusion.isExcluded !== true,
    );
  }

  /** Runs for a time; returns the calls made meanwhile. */
  async run(ms: number): Promise<SentCall[]> {
    const before = this.calls.length;
    await this.clock.run(ms);
    return this.calls.slice(before);
  }

  /** Checks that one host at a time made calls, with rising tokens. */
  checkCalls(): void {
    let previous: SentCall | undefined;
    for (const call of this.calls) {
      const isOther = previous !== undefined && previous.host !== call.host;
      const fence = previous?.fence ?? 0;
      assert.ok(isOther ? call.fence > fence : call.fence >= fence);
      previous = call;
    }
  }
}

describe('a singleton task', () => {
  it('makes no call where no task is asked for', async () => {
    const fleet = new TaskFleet([]);
    await fleet.run(TAKEOVER_MS);
    const calls = [...fleet.hosts.values()].map((host) => host.storeCalls);
    assert.deepEqual([fleet.calls, calls], [[], [0, 0, 0, 0, 0]]);
  });

  it('is held by one host, and costs the others few reads', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const holder = fleet.last;
    for (const host of fleet.hosts.values()) host.storeCalls = 0;
    const calls = await fleet.run(10 * LEASE_MS);
    assert.deepEqual([...new Set(calls.map(({host}) => host))], [holder.host]);
    let idle = 0;
    for (const host of fleet.hosts.values()) {
      if (host.storeCalls === 0) idle++;
      // Three renewals a lease, or one read.
      assert.ok(host.storeCalls <= (host === holder ? 31 : 11));
    }
    assert.equal(idle, HOSTS.length - 3);
  });

  it('passes on from a host that leaves, which calls no more', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const left = fleet.last;
    left.isLeaving = true;
    await fleet.run(2 * TAKEOVER_MS);
    assert.notEqual(fleet.last, left);
    assert.equal(left.stops, 1);
    fleet.checkCalls();
  });

  it('is not resumed at once by a restarted host', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const {host, tasks} = fleet.last;
    void tasks.stop();
    const stoppedAt = fleet.clock.getNow();
    fleet.start(host);
    await fleet.run(2 * TAKEOVER_MS);
    const next = fleet.calls.find(({at}) => at > stoppedAt);
    // The lease and the longest call, less a renewal interval.
    assert.ok(next !== undefined && next.at - stoppedAt >= LEASE_MS);
    fleet.checkCalls();
  });

  it('pauses while the store is away, and goes on at its return', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const holder = fleet.last;
    fleet.isStoreAway = true;
    await fleet.run(LEASE_MS);
    const meanwhile = await fleet.run(1500);
    fleet.isStoreAway = false;
    const calls = await fleet.run(2000);
    assert.equal(meanwhile.length, 0);
    assert.deepEqual([...new Set(calls.map(({host}) => host))], [holder.host]);
    assert.equal(holder.starts, 2);
    fleet.checkCalls();
  });

  it('passes on from a host that the API does not answer', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const cut = fleet.last;
    cut.isApiSilent = true;
    await fleet.run(2 * LEASE_MS + 2 * TAKEOVER_MS);
    assert.notEqual(fleet.last, cut);
    assert.equal(cut.stops, 1);
    fleet.checkCalls();
  });

  it('passes to a fourth host when the API answers no candidate', async () => {
    const fleet = new TaskFleet();
    await fleet.run(TAKEOVER_MS);
    const candidates = fleet.last.tasks.listCandidates('usage');
    for (const [name, host] of fleet.hosts) {
      host.isApiSilent = candidates.includes(name);
    }
    await fleet.run(3 * (2 * LEASE_MS + TAKEOVER_MS));
    const calls = await fleet.run(TAKEOVER_MS);
    const [host, ...others] = new Set(calls.map((call) => call.host));
    assert.ok(host !== undefined && !candidates.includes(host), host);
    assert.deepEqual(others, []);
    fleet.checkCalls();
  });

  it('is started again until it has loaded its state', async () => {
    const fleet = new TaskFleet();
    for (const host of fleet.hosts.values()) host.startFailures = 2;
    await fleet.run(TAKEOVER_MS);
    assert.equal(fleet.last.starts, 3);
  });
});
