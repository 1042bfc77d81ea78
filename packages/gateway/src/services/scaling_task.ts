/**
 * The task `scaling`: one host orders endpoints for the load of all hosts. See
 * docs/design/scaling.md.
 */
import {ScalingPlan} from '@irisdock/decisions';
import {parseScalingRow, SCALING_STATE_PREFIX} from '../model/scaling_state.js';
import type {
  HeldLease,
  SingletonTask,
  TaskActivity,
} from '../model/singleton_task.js';
import type {RowChange} from '../model/table_store.js';
import type {GatewayConfiguration} from './configuration.js';
import {ScaledService, type ScaledServiceParts} from './scaled_service.js';
import {createScalingView, type ScalingViewParts} from './scaling_view.js';

/** Dependencies of the task. */
export interface ScalingTaskParts extends ScaledServiceParts, ScalingViewParts {
  readonly configuration: Pick<GatewayConfiguration, 'listScaledServices'>;
}

/** Orders endpoints while this host holds the task. */
export class ScalingTask implements SingletonTask {
  readonly name = 'scaling';
  private readonly services = new Map<string, ScaledService>();

  constructor(private readonly parts: ScalingTaskParts) {}

  /** Lists the services that this host orders endpoints for. */
  listServices(): ScaledService[] {
    const scaled = this.parts.configuration.listScaledServices();
    const names = new Set(scaled.map(({name}) => name));
    return [...this.services.values()].filter(({name}) => names.has(name));
  }

  async start(lease: HeldLease): Promise<boolean> {
    this.services.clear();
    const loaded = await lease.load(SCALING_STATE_PREFIX);
    if (loaded.isErr()) return false;
    for (const {key, value} of loaded.value) {
      if (value === undefined) continue;
      const name = key.slice(SCALING_STATE_PREFIX.length);
      const row = parseScalingRow(value);
      if (row.isErr()) {
        // The plan starts over, from the endpoints as they are.
        const fault = row.error;
        this.parts.log.writeError('Cannot read the orders.', {key, fault});
        continue;
      }
      const service = ScaledService.createFrom(name, this.parts, row.value);
      this.services.set(name, service);
    }
    return true;
  }

  async step(lease: HeldLease): Promise<void> {
    // A service that is not scaled any more is kept: if it is again, its numbers
    // are in force still, though no endpoints may show them.
    for (const service of this.parts.configuration.listScaledServices()) {
      if (!lease.isHeld) return;
      const state = this.getService(service.name);
      if (!state.isDue) continue;
      await state.step(lease, () => createScalingView(this.parts, service));
    }
  }

  listRenewalChanges(): readonly RowChange[] {
    return [...this.services.values()].flatMap((one) => one.listChanges());
  }

  getActivity(): TaskActivity {
    const orders = this.listServices().flatMap((one) => one.listOrders());
    return {windows: [], orders};
  }

  stop(): void {
    this.services.clear();
  }

  private getService(name: string): ScaledService {
    let service = this.services.get(name);
    if (service === undefined) {
      service = new ScaledService(name, this.parts, new ScalingPlan());
      this.services.set(name, service);
    }
    return service;
  }
}
