/**
 * The service `peers`: communication with the other hosts (`peer_hosts.ts`).
 */
import {HostPosition} from '@irisdock/decisions';
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
  type Clock,
} from '@irisdock/kernel';
import {Counter, Gauge, type Registry} from 'prom-client';
import * as z from 'zod';
import {DatagramSocket} from '../channels/datagram_socket.js';
import {PeerFrame} from '../model/peer_frame.js';
import {HttpPeerTableSource} from '../tables/peer_table_source.js';
import {HOST_IDENTITY} from './identity.js';
import {Peers} from './peer_hosts.js';
import {TABLES_KEY} from '../tables/tables.js';

/** The key of the service. */
export const PEERS = createServiceKey<Peers>('peers');

const SETTINGS = z.object({
  listen: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where this host listens for datagrams of other hosts.',
  }),
  datagramAddress: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where other hosts reach `[peers] listen`.',
  }),
  tableAddress: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where other hosts reach `[peerTables] listen`.',
  }),
  callerAddress: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Where callers reach `[front] listen`.',
  }),
  seeds: z
    .string()
    .default('')
    .transform((text) => text.split(',').filter((part) => part !== ''))
    .meta({
      unit: 'ip:port,...',
      description:
        'The table addresses of some other hosts; they may be outdated.',
    }),
  beatMs: z.coerce.number().int().min(50).default(300).meta({
    unit: 'ms',
    description: 'The interval between two heartbeats to other hosts.',
  }),
});

const MS_PER_SECOND = 1000;

function addGauges(peers: Peers, metrics: Registry, clock: Clock): void {
  new Gauge({
    name: 'irisdock_gateway_hosts_serving',
    help: 'Hosts that serve callers, including this one, a count.',
    registers: [metrics],
    collect() {
      this.set(peers.countServing());
    },
  });
  new Gauge({
    name: 'irisdock_gateway_configuration_age_seconds',
    help: 'How long ago the configuration in force was known to be the latest.',
    registers: [metrics],
    collect() {
      const ageMs = peers.standing.getConfigurationAgeMs(clock.getNow());
      this.set(ageMs / MS_PER_SECOND);
    },
  });
}

function createDropCounter(metrics: Registry): Counter {
  return new Counter({
    name: 'irisdock_gateway_peer_datagrams_dropped_total',
    help: 'Datagrams dropped as not from a host of this deployment, a count.',
    labelNames: ['reason'],
    registers: [metrics],
  });
}

/** Declares the service. */
export const PEERS_SERVICE = createService({
  key: PEERS,
  settings: SETTINGS,
  needs: [HOST_IDENTITY, TABLES_KEY],
  create(context, settings) {
    const {name, deployment, failureDomain, incarnation, regions, capacity} =
      context.find(HOST_IDENTITY);
    const drops = createDropCounter(context.metrics);
    const api = new Peers({
      name,
      deployment,
      place: {
        failureDomain,
        datagrams: settings.datagramAddress,
        tables: settings.tableAddress,
        callers: settings.callerAddress,
        ...(capacity === undefined ? {} : {capacity}),
      },
      position: new HostPosition(failureDomain, regions),
      listen: settings.listen,
      heartbeatMs: settings.beatMs,
      incarnation,
      seeds: settings.seeds,
      openDatagrams: (handle) => new DatagramSocket(handle),
      recordDrop: (reason) => {
        drops.inc({reason});
      },
      tables: context.find(TABLES_KEY),
      tableSource: new HttpPeerTableSource(new PeerFrame(deployment).tag),
      clock: context.clock,
      random: context.random,
      log: context.log,
    });
    addGauges(api, context.metrics, context.clock);
    let timer: NodeJS.Timeout | undefined;
    return {
      api,
      live: {
        keys: ['seeds'],
        apply: ({seeds}) => {
          api.setSeeds(seeds);
        },
      },
      async start() {
        await api.start();
        api.runHeartbeat();
        timer = setInterval(() => {
          api.runHeartbeat();
        }, settings.beatMs);
      },
      stop() {
        clearInterval(timer);
        api.close();
        return Promise.resolve();
      },
    };
  },
});
