/**
 * Which orders the endpoints of a service need, so that what is loaded
 * follows what was declared. What most requests wait for goes first, and no
 * more loads are under way than the weight store can feed.
 * docs/design/orders.md.
 */

/** What an endpoint has, by its own word. */
export interface LoadedEndpoint {
  readonly address: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}

/** What a service's endpoints should have. */
export interface DesiredLoads {
  readonly service: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** How many endpoints should have it; 0 is all. */
  readonly replicas: number;
  /** Requests that wait for the service. */
  readonly demand: number;
  readonly endpoints: readonly LoadedEndpoint[];
}

/** What an order does. */
export type OrderAction =
  'drop_adapter' | 'drop_model' | 'load_adapter' | 'load_model';

/** An order to give. */
export interface PlannedOrder {
  readonly address: string;
  readonly action: OrderAction;
  readonly target: string;
}

/** Plans at most `maxLoads` loads; drops follow once loads are done. */
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

/** Demand per endpoint that is ready; a service with none is first. */
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

/** Those that have it already go first, so that little is moved. */
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
