/**
 * Plans the orders that bring the models and adapters loaded on endpoints in
 * line with the declared ones. Services with the highest demand per ready
 * endpoint come first, and the number of loads at a time is bounded by what the
 * weight store can deliver. See docs/design/orders.md.
 */

/** The models and adapters that an endpoint reports as loaded. */
export interface LoadedEndpoint {
  readonly address: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}

/** The models and adapters that a service's endpoints should have loaded. */
export interface DesiredLoads {
  readonly service: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** How many endpoints should have them loaded; 0 for all. */
  readonly replicas: number;
  /** Waiting requests of the service. */
  readonly demand: number;
  readonly endpoints: readonly LoadedEndpoint[];
}

/** The action of an order. */
export type OrderAction =
  'drop_adapter' | 'drop_model' | 'load_adapter' | 'load_model';

/** An order to send to an endpoint. */
export interface PlannedOrder {
  readonly address: string;
  readonly action: OrderAction;
  /** The model or adapter to load or drop. */
  readonly target: string;
}

/** Plans at most `maxLoads` loads, or the drops if nothing is to be loaded. */
export function planOrders(
  desired: readonly DesiredLoads[],
  maxLoads: number,
): PlannedOrder[] {
  const byPriority = [...desired].sort(
    (a, b) =>
      computePriority(b) - computePriority(a) ||
      (a.service < b.service ? -1 : 1),
  );
  const loads = byPriority.flatMap(planLoads);
  if (loads.length > 0) return loads.slice(0, maxLoads);
  return byPriority.flatMap(planDrops);
}

/** Computes demand per ready endpoint; a service without one comes first. */
function computePriority(desired: DesiredLoads): number {
  const ready = desired.endpoints.filter((e) => isReady(e, desired)).length;
  return (desired.demand + 1) / (ready === 0 ? 1e-3 : ready);
}

function planLoads(desired: DesiredLoads): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const endpoint of listTargets(desired)) {
    const {address} = endpoint;
    for (const target of desired.models) {
      if (endpoint.models.includes(target)) continue;
      orders.push({address, action: 'load_model', target});
    }
    for (const target of desired.adapters) {
      if (endpoint.adapters.includes(target)) continue;
      orders.push({address, action: 'load_adapter', target});
    }
  }
  return orders;
}

function planDrops(desired: DesiredLoads): PlannedOrder[] {
  const targets = new Set(listTargets(desired));
  const orders: PlannedOrder[] = [];
  for (const endpoint of desired.endpoints) {
    const {address} = endpoint;
    const keeps = targets.has(endpoint);
    for (const target of endpoint.models) {
      if (keeps && desired.models.includes(target)) continue;
      orders.push({address, action: 'drop_model', target});
    }
    for (const target of endpoint.adapters) {
      if (keeps && desired.adapters.includes(target)) continue;
      orders.push({address, action: 'drop_adapter', target});
    }
  }
  return orders;
}

/** Lists the endpoints to use, ready ones first, so that few loads change. */
function listTargets(desired: DesiredLoads): LoadedEndpoint[] {
  const sorted = [...desired.endpoints].sort((a, b) => {
    const ready = Number(isReady(b, desired)) - Number(isReady(a, desired));
    return ready !== 0 ? ready : a.address < b.address ? -1 : 1;
  });
  const {replicas} = desired;
  return replicas === 0 ? sorted : sorted.slice(0, replicas);
}

function isReady(endpoint: LoadedEndpoint, desired: DesiredLoads): boolean {
  return (
    desired.models.every((name) => endpoint.models.includes(name)) &&
    desired.adapters.every((name) => endpoint.adapters.includes(name))
  );
}
