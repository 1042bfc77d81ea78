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
  wanted: readonly DesiredLoads[],
  maxLoads: number,
): PlannedOrder[] {
  const byNeed = [...wanted].sort(
    (a, b) =>
      computeNeed(b) - computeNeed(a) || (a.service < b.service ? -1 : 1),
  );
  const loads = byNeed.flatMap(planLoads);
  if (loads.length > 0) return loads.slice(0, maxLoads);
  return byNeed.flatMap(planDrops);
}

/** Computes demand per ready endpoint; a service without one comes first. */
function computeNeed(wanted: DesiredLoads): number {
  const ready = wanted.endpoints.filter((e) => isReady(e, wanted)).length;
  return (wanted.demand + 1) / (ready === 0 ? 1e-3 : ready);
}

function planLoads(wanted: DesiredLoads): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const endpoint of listTargets(wanted)) {
    const {address} = endpoint;
    for (const target of wanted.models) {
      if (endpoint.models.includes(target)) continue;
      orders.push({address, action: 'load_model', target});
    }
    for (const target of wanted.adapters) {
      if (endpoint.adapters.includes(target)) continue;
      orders.push({address, action: 'load_adapter', target});
    }
  }
  return orders;
}

function planDrops(wanted: DesiredLoads): PlannedOrder[] {
  const targets = new Set(listTargets(wanted));
  const orders: PlannedOrder[] = [];
  for (const endpoint of wanted.endpoints) {
    const {address} = endpoint;
    const keeps = targets.has(endpoint);
    for (const target of endpoint.models) {
      if (keeps && wanted.models.includes(target)) continue;
      orders.push({address, action: 'drop_model', target});
    }
    for (const target of endpoint.adapters) {
      if (keeps && wanted.adapters.includes(target)) continue;
      orders.push({address, action: 'drop_adapter', target});
    }
  }
  return orders;
}

/** Lists the endpoints to use, ready ones first, so that few loads change. */
function listTargets(wanted: DesiredLoads): LoadedEndpoint[] {
  const sorted = [...wanted.endpoints].sort((a, b) => {
    const ready = Number(isReady(b, wanted)) - Number(isReady(a, wanted));
    return ready !== 0 ? ready : a.address < b.address ? -1 : 1;
  });
  const {replicas} = wanted;
  return replicas === 0 ? sorted : sorted.slice(0, replicas);
}

function isReady(endpoint: LoadedEndpoint, wanted: DesiredLoads): boolean {
  return (
    wanted.models.every((name) => endpoint.models.includes(name)) &&
    wanted.adapters.every((name) => endpoint.adapters.includes(name))
  );
}
