/**
 * The service `tasks`: singleton tasks, each performed by one host of the
 * deployment at a time. Without names of tasks it is idle and makes no calls.
 * docs/design/singleton_tasks.md.
 */
import {
  chooseLeaderCandidates,
  computeLeaseTimings,
  LeaseState,
} from '@irisdock/decisions';
import {
  createService,
  createServiceKey,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import * as z from 'zod';
import {
  TASK_NAMES,
  TASKS,
  type SingletonTask,
  type TaskActivity,
  type TaskName,
  type TaskRegistry,
  type TaskStore,
} from '../model/singleton_task.js';
import {PLATFORM_API} from '../model/platform_api.js';
import {HOST_PHASE} from './host_phase.js';
import {HOST_IDENTITY, type HostIdentity} from './identity.js';
import {PEERS} from './peers.js';
import {STORE} from './store.js';
import {TaskExclusion} from './task_exclusion.js';
import {TaskLease} from './task_lease.js';
import {TaskMetrics} from './task_metrics.js';
import {TaskRunner} from './task_runner.js';

/** How many hosts compete for a task, to limit reads of the store. */
const MAX_CANDIDATES = 3;
/** The shortest lease that leaves time for renewals, in ms. */
const MIN_LEASE_MS = 1000;
/**
 * The longest lease, in ms. All hosts wait out the lease in the row of a lost
 * holder, so a duration that was set too long by mistake would leave the task
 * without a holder for as long.
 */
const MAX_LEASE_MS = 60_000;

const SETTINGS = z.object({
  names: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((part) => part !== ''))
    .pipe(z.array(z.enum(TASK_NAMES)))
    .meta({
      unit: 'name,...',
      description: `The tasks that one host of the deployment performs: ${TASK_NAMES.join(', ')}; none if empty.`,
    }),
  leaseMs: z.coerce
    .number()
    .int()
    .min(MIN_LEASE_MS)
    .max(MAX_LEASE_MS)
    .default(3000)
    .meta({
      unit: 'ms',
      description:
        'The duration of the lease of a task, at most a minute; the same on all hosts of a deployment, except while a rolling restart changes it.',
    }),
});

/** Dependencies of the tasks. */
export interface TasksParts {
  readonly names: readonly TaskName[];
  readonly leaseMs: number;
  readonly identity: Pick<HostIdentity, 'incarnation' | 'name'>;
  readonly store: TaskStore;
  /** Lists the hosts that may hold tasks. */
  readonly listHosts: () => readonly string[];
  /** Whether this host was told to stop. */
  readonly isLeaving: () => boolean;
  /** Whether this host's calls for tasks fail. */
  readonly exclusion: TaskExclusion;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Pick<TaskMetrics, 'recordCall' | 'recordLoss'>;
}

/** A task as operators see it. */
export interface TaskSummary extends TaskActivity {
  readonly task: TaskName;
  /** The holder as last seen in the store; undefined if none is known. */
  readonly holder: string | undefined;
  readonly fence: number;
  /** How long ago that was seen, in ms. */
  readonly ageMs: number | undefined;
  /** Whether this host holds the task now. */
  readonly isHolder: boolean;
  /** The hosts that may acquire it, best first. */
  readonly candidates: readonly string[];
}

interface RunningTask {
  readonly task: SingletonTask;
  readonly lease: TaskLease;
  readonly runner: TaskRunner;
}

/** The tasks of this host. */
export class Tasks implements TaskRegistry {
  private readonly running = new Map<TaskName, RunningTask>();

  constructor(private readonly parts: TasksParts) {}

  isEnabled(name: TaskName): boolean {
    return this.parts.names.includes(name);
  }

  register(task: SingletonTask): void {
    const {name} = task;
    if (!this.isEnabled(name)) return;
    if (this.running.has(name)) {
      throw new Error(`The task ${name} is registered twice.`);
    }
    const lease = this.createLease(name);
    const runner = this.createRunner(task, lease);
    this.running.set(name, {task, lease, runner});
    runner.start();
  }

  listCandidates(name: TaskName): readonly string[] {
    if (!this.isEnabled(name)) return [];
    const hosts = this.parts.listHosts();
    return chooseLeaderCandidates(name, hosts, MAX_CANDIDATES);
  }

  isHolder(name: TaskName): boolean {
    return this.running.get(name)?.runner.isHolder === true;
  }

  /** Lists the tasks that run on this host or may do so. */
  listTasks(): TaskSummary[] {
    const now = this.parts.clock.getNow();
    return [...this.running].map(([name, {task, lease}]) => {
      const {holder, fence, seenAt} = lease.summary;
      const ageMs = seenAt === undefined ? undefined : now - seenAt;
      const candidates = this.listCandidates(name);
      const isHolder = this.isHolder(name);
      const place = {holder, fence, ageMs, isHolder, candidates};
      return {task: name, ...place, ...task.getActivity()};
    });
  }

  async stop(): Promise<void> {
    const runners = [...this.running.values()].map(({runner}) => runner);
    await Promise.all(runners.map((runner) => runner.stop()));
  }

  private createLease(task: TaskName): TaskLease {
    const {identity, store, clock, leaseMs} = this.parts;
    const {name: host, incarnation} = identity;
    const timings = computeLeaseTimings(leaseMs);
    // Calls of the process before may be in flight: it was another holder.
    const state = new LeaseState(`${host} ${incarnation}`, timings);
    return new TaskLease({task, host, state, store, clock, timings});
  }

  private createRunner(task: SingletonTask, lease: TaskLease): TaskRunner {
    const {identity, clock, log, metrics, leaseMs} = this.parts;
    const {isLeaving, exclusion} = this.parts;
    const {name} = task;
    return new TaskRunner({
      task,
      lease,
      timings: computeLeaseTimings(leaseMs),
      clock,
      log,
      isCandidate: () => this.listCandidates(name).includes(identity.name),
      isLeaving,
      exclusion,
      recordLoss: () => {
        metrics.recordLoss(name);
      },
      recordCall: (outcome) => {
        metrics.recordCall(name, outcome.kind);
      },
    });
  }
}

/** The key of the service for those that show the tasks to operators. */
export const TASK_SUMMARIES = createServiceKey<Pick<Tasks, 'listTasks'>>(
  TASKS.name,
);

/** Declares the service. */
export const TASKS_SERVICE = createService({
  key: TASKS,
  settings: SETTINGS,
  needs: [HOST_IDENTITY, HOST_PHASE, PEERS, PLATFORM_API, STORE],
  create(context, settings) {
    const {clock, log} = context;
    const peers = context.find(PEERS);
    const phase = context.find(HOST_PHASE);
    const exclusion = new TaskExclusion(clock);
    peers.isTaskExcluded = () => exclusion.isExcluded;
    const metrics = new TaskMetrics(context.metrics);
    const {requestedTasks} = context.find(PLATFORM_API);
    const api = new Tasks({
      names: [...new Set([...settings.names, ...requestedTasks])],
      leaseMs: settings.leaseMs,
      identity: context.find(HOST_IDENTITY),
      store: context.find(STORE),
      listHosts: () => peers.listTaskHostNames(),
      isLeaving: () => phase.isLeaving,
      exclusion,
      clock,
      log,
      metrics,
    });
    metrics.registerGauges(api);
    return {api, stop: () => api.stop()};
  },
});
