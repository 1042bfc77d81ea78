/** The metrics of singleton tasks. */
import {Counter, Gauge, type Registry} from 'prom-client';
import type {CallOutcome} from '../model/platform_api.js';
import type {TaskName} from '../model/singleton_task.js';
import type {Tasks} from './tasks.js';

/** Counts calls and losses, and shows the holder and its fencing token. */
export class TaskMetrics {
  private readonly calls: Counter;
  private readonly losses: Counter;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.calls = new Counter({
      name: 'irisdock_gateway_task_calls_total',
      help: 'Calls of tasks to the API of the platform, a count, by outcome.',
      labelNames: ['task', 'outcome'],
      registers,
    });
    this.losses = new Counter({
      name: 'irisdock_gateway_task_lease_losses_total',
      help: 'Leases of tasks that this host held and lost, a count.',
      labelNames: ['task'],
      registers,
    });
  }

  recordCall(task: TaskName, outcome: CallOutcome['kind']): void {
    this.calls.inc({task, outcome});
  }

  recordLoss(task: TaskName): void {
    this.losses.inc({task});
  }

  /** Adds the gauges of the tasks. */
  registerGauges(tasks: Pick<Tasks, 'listTasks'>): void {
    const registers = [this.registry];
    new Gauge({
      name: 'irisdock_gateway_task_holder',
      help: 'Whether this host holds the task, 1 or 0.',
      labelNames: ['task'],
      registers,
      collect() {
        for (const {task, isHolder} of tasks.listTasks()) {
          this.set({task}, Number(isHolder));
        }
      },
    });
    new Gauge({
      name: 'irisdock_gateway_task_fence',
      help: 'The fencing token of the task as this host last saw it.',
      labelNames: ['task'],
      registers,
      collect() {
        for (const {task, fence} of tasks.listTasks()) {
          this.set({task}, fence);
        }
      },
    });
  }
}
