/**
 * Until when hosts continue begun streams at endpoints that are leaving. The
 * store's acknowledgement of the leaving bounds it, and no host may be later,
 * however late it hears of that.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ok} from 'neverthrow';
import type {EndpointEntry} from '../src/model/endpoint_entry.js';
import {DrainingEndpoints} from '../src/services/draining_endpoints.js';
import {EndpointPauses} from '../src/services/endpoint_pauses.js';
import {
  GatewayEndpoints,
  type GatewayEndpointsParts,
} from '../src/services/gateway_endpoints.js';
import {createEndpoint} from './fixtures/endpoints.js';
import {TableFleet, type FleetHost} from './fixtures/table_fleet.js';

const DRAIN_MS = 4000;
/** Requests are on the way for some time. */
const MARGIN_MS = 150;
/** Two turns of the readers of the store, as a datagram may be lost, in ms. */
const MAX_READ_GAP_MS = 1400;
const SETTLE_MS = 8000;
const ROUNDS = 12;
const SEEDS = [1, 2, 3, 4, 5, 6];
const SIZE = {hosts: 9, domains: 3};
/** Round trips to the store, in ms: usual, slow, and beyond the time limit. */
const ROUND_TRIPS_MS = [8, 400, 700, 1500];

/** Follows the endpoints on one host. */
function createEndpoints(host: FleetHost, fleet: TableFleet): GatewayEndpoints {
  const {endpoints: table} = host.tables;
  const parts: Partial<GatewayEndpointsParts> = {
    codec: {decode: (_key, value) => ok(JSON.parse(value) as EndpointEntry)},
    clock: fleet.clock,
    log: fleet.log,
    getMemoryTokens: () => 1000,
    isServiceConfigured: () => true,
    isScaled: () => false,
    drainMs: DRAIN_MS,
    draining: new DrainingEndpoints({
      confirmations: table.confirmations,
      pollStore: () => table.pollStore(),
      drainMs: DRAIN_MS,
      clock: fleet.clock,
    }),
    getDepartureDelayMs: () => 0,
    peers: host.peers,
    pauses: new EndpointPauses(fleet.clock, fleet.log),
  };
  const endpoints = new GatewayEndpoints(parts as GatewayEndpointsParts);
  endpoints.applyRows(table.replica.listAll());
  void table.changes.observe((rows) => {
    endpoints.applyRows(rows);
  });
  return endpoints;
}

function putEntry(
  fleet: TableFleet,
  name: string,
  change: Partial<EndpointEntry>,
): void {
  const entry = {...createEndpoint(name).entry, ...change};
  fleet.store.put('endpoints', name, JSON.stringify(entry));
}

async function runFleet(
  seed: number,
  body: (
    fleet: TableFleet,
    endpoints: readonly GatewayEndpoints[],
  ) => Promise<void>,
): Promise<void> {
  const fleet = new TableFleet({...SIZE, seed, lossPermille: 50});
  for (let round = 0; round < ROUNDS; round++) {
    putEntry(fleet, `e-${round}`, {});
  }
  await fleet.start(SETTLE_MS);
  const all = fleet.hosts.map((host) => createEndpoints(host, fleet));
  await body(fleet, all);
  for (const endpoints of all) endpoints.close();
  fleet.stop();
}

/** Makes an endpoint leave; returns when the store took that. */
async function startLeaving(fleet: TableFleet, name: string): Promise<number> {
  const {clock, random} = fleet;
  await clock.run(random.getInt(5000));
  putEntry(fleet, name, {state: 'leaving'});
  const takenAt = clock.getNow();
  // What hosts hear first may be a later change of the entry.
  if (random.getInt(2) === 0) {
    await clock.run(random.getInt(900));
    putEntry(fleet, name, {state: 'leaving', slots: 9});
  }
  await clock.run(random.getInt(900));
  return takenAt;
}

/** Lists until when each host sends to an endpoint, in ms of the clock. */
async function listServesUntil(
  fleet: TableFleet,
  all: readonly GatewayEndpoints[],
  name: string,
): Promise<number[]> {
  for (const endpoints of all) void endpoints.listDraining('s');
  await fleet.clock.run(100);
  const ends: number[] = [];
  for (const endpoints of all) {
    const record = endpoints.find(name);
    if (record?.entry.state === 'leaving') ends.push(record.servesUntil);
  }
  return ends;
}

describe('a leaving endpoint', () => {
  for (const seed of SEEDS) {
    // Guards against requests after the drain, which the store's delay prolongs.
    it(`gets nothing after its drain by late reads, seed ${seed}`, async () => {
      await runFleet(seed, async (fleet, all) => {
        for (let round = 0; round < ROUNDS; round++) {
          for (const {storeClient} of fleet.hosts) {
            const index = fleet.random.getInt(ROUND_TRIPS_MS.length);
            storeClient.roundTripMs = ROUND_TRIPS_MS[index] ?? 0;
          }
          const name = `e-${round}`;
          const takenAt = await startLeaving(fleet, name);
          const lastAt = takenAt + DRAIN_MS - MARGIN_MS;
          for (const end of await listServesUntil(fleet, all, name)) {
            assert.ok(end <= lastAt, `${end - lastAt} ms late`);
          }
        }
      });
    });

    // Guards against refusals at hosts that heard of the leaving after the fact.
    it(`serves begun streams of a host that starts, seed ${seed}`, async () => {
      await runFleet(seed, async (fleet, all) => {
        const name = 'e-0';
        const takenAt = await startLeaving(fleet, name);
        await fleet.clock.run(300);
        const host = fleet.hosts.at(-1);
        assert.ok(host);
        host.kill();
        void host.start(fleet.listSeeds(host));
        await fleet.clock.run(500);
        const started = createEndpoints(host, fleet);
        const [end = -Infinity] = await listServesUntil(fleet, [started], name);
        started.close();
        const lastAt = takenAt + DRAIN_MS - MARGIN_MS;
        assert.ok(end <= lastAt, `${end - lastAt} ms late`);
        assert.ok(end >= lastAt - MAX_READ_GAP_MS, `${lastAt - end} ms`);
        assert.equal(all.length, SIZE.hosts);
      });
    });

    // Guards against hosts that do not read the store and refuse such streams.
    it(`serves begun streams of all hosts for most of its drain, seed ${seed}`, async () => {
      await runFleet(seed, async (fleet, all) => {
        for (let round = 0; round < ROUNDS; round++) {
          const name = `e-${round}`;
          const takenAt = await startLeaving(fleet, name);
          await fleet.clock.run(1000);
          const ends = await listServesUntil(fleet, all, name);
          assert.equal(ends.length, SIZE.hosts);
          const least = takenAt + DRAIN_MS - MARGIN_MS - MAX_READ_GAP_MS;
          for (const end of ends) assert.ok(end >= least, `${least - end} ms`);
        }
      });
    });
  }
});
