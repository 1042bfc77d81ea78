/**
 * Other hosts as one real host meets them: each answers its questions, and one
 * of them asks it in each beat, as many hosts at rest would.
 */
import {createSocket, type Socket} from 'node:dgram';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  hashText,
  type HostRecord,
  type GossipMessage,
} from '@irisdock/decisions';
import {
  decodePeerDatagram,
  encodePeerDatagram,
  PeerFrame,
  type PeerLocation,
} from '@irisdock/gateway';
import {splitPlace} from '@irisdock/kernel';
import {DEPLOYMENT} from './deployed_host.js';

const LOOPBACK = '127.0.0.1';
const BEAT_MS = 300;
const DOMAINS = 6;
const FRAME = new PeerFrame(DEPLOYMENT);

interface StandinHost {
  readonly socket: Socket;
  readonly record: HostRecord;
  readonly place: PeerLocation;
}

/** What went between the real host and the others. */
export interface TrafficCount {
  received: number;
  receivedBytes: number;
}

/** The other hosts. */
export class StandinHosts {
  readonly count: TrafficCount = {received: 0, receivedBytes: 0};
  private readonly hosts: StandinHost[] = [];
  private readonly server: Server;
  private hashSum = 0;
  private own: HostRecord | undefined;
  private turn = 0;
  private timer: NodeJS.Timeout | undefined;

  /** @param target Where the real host takes datagrams, as `ip:port`. */
  constructor(private readonly target: string) {
    this.server = createServer((_message, response) => {
      const hosts = this.hosts.map(({record, place}) => ({record, place}));
      response.end(JSON.stringify({hosts, parts: []}));
    });
  }

  /** Starts so many hosts; gives the seed that lists them. */
  async start(count: number): Promise<string> {
    for (let at = 0; at < count; at++) await this.addHost(at);
    await new Promise<void>((resolve) => {
      this.server.listen(0, LOOPBACK, resolve);
    });
    this.timer = setInterval(() => {
      const host = this.hosts[this.turn++ % this.hosts.length];
      if (host !== undefined) this.send(host, 'probe', undefined);
    }, BEAT_MS);
    const {port} = this.server.address() as AddressInfo;
    return `${LOOPBACK}:${port}`;
  }

  stop(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    for (const {socket} of this.hosts) socket.close();
  }

  private async addHost(at: number): Promise<void> {
    const socket = createSocket('udp4');
    await new Promise<void>((resolve) => {
      socket.bind(0, LOOPBACK, resolve);
    });
    const host: StandinHost = {
      socket,
      record: {
        name: `other-host-${at}`,
        incarnation: 1_790_000_000_000 + at,
        version: 2,
        state: 'ready',
        isStoreAway: false,
      },
      place: {
        failureDomain: `domain-${at % DOMAINS}`,
        datagrams: `${LOOPBACK}:${socket.address().port}`,
        tables: `${LOOPBACK}:1`,
        callers: `${LOOPBACK}:1`,
      },
    };
    socket.on('message', (bytes) => {
      this.handleDatagram(host, bytes);
    });
    this.hosts.push(host);
    this.hashSum += hashRecord(host.record);
  }

  private handleDatagram(host: StandinHost, bytes: Buffer): void {
    this.count.received++;
    this.count.receivedBytes += bytes.length;
    const datagram = FRAME.decode(bytes)
      .andThen((payload) => decodePeerDatagram(payload))
      .unwrapOr(undefined);
    if (datagram?.kind !== 'watch') return;
    const {sender, kind, asker} = datagram.watch;
    this.own = sender;
    if (kind === 'probe') this.send(host, 'answer', asker);
  }

  private send(
    {socket, record, place}: StandinHost,
    kind: 'answer' | 'probe',
    asker: string | undefined,
  ): void {
    const ownHash = this.own === undefined ? 0 : hashRecord(this.own);
    const watch: GossipMessage<PeerLocation> = {
      kind,
      sender: record,
      place: kind === 'probe' ? place : undefined,
      asker,
      target: undefined,
      updates: [],
      recordsHash: (this.hashSum + ownHash) >>> 0,
    };
    const revisions = {configuration: 1, endpoints: 1, crashes: 0, versions: 0};
    const sentAt = performance.now();
    const datagram = {
      kind: 'watch',
      watch,
      revisions,
      reports: [],
      sentAt,
    } as const;
    const {host, port} = splitPlace(this.target);
    socket.send(FRAME.encode(encodePeerDatagram(datagram)), port, host);
  }
}

function hashRecord({name, incarnation, version}: HostRecord): number {
  return hashText(`${name}/${incarnation}/${version}`);
}
