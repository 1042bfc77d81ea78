/**
 * The service `peers`: the streams between hosts. Each host watches a few
 * others; over a watch come heartbeats, notes on members, changes of
 * configuration and hints on endpoints, each passed on once by every host it
 * is news to.
 */
import {
  Channel,
  createService,
  createServiceKey,
  getErrorText,
  isRefused,
  Repeater,
  type Clock,
  type Logger,
} from '@irisdock/kernel';
import type {MemberNote} from '@irisdock/decisions';
import {
  PeerClient,
  type ConfigurationPart,
  type EndpointHint,
  type LoadHint,
  type PeerHandler,
  type PeerNews,
} from '@irisdock/peer';
import {CHANGE_SCHEMA, SNAPSHOT_SCHEMA, type Change} from '@irisdock/resources';
import type {Stream} from 'most';
import {Counter} from 'prom-client';
import * as z from 'zod';
import {UpdateQueue} from '../configuration/update_queue.js';
import {CONFIGURATION, type Configuration} from './configuration.js';
import {HOST, type Host} from './host.js';
import {LISTENERS} from './listeners.js';
import {MEMBERSHIP, type Membership} from './membership.js';

const MAX_QUEUED = 1000;
const LINK_CHECK_MS = 250;
const MAX_TRIED = 2;

/** What is passed on; each field may be empty. */
interface Passed {
  readonly members: readonly MemberNote[];
  readonly changes: readonly Change[];
  readonly endpoints: readonly EndpointHint[];
  readonly loads: readonly LoadHint[];
}

const NOTHING: Passed = {members: [], changes: [], endpoints: [], loads: []};

/** What the links need of the rest. */
interface LinkParts {
  readonly host: Host;
  readonly membership: Membership;
  readonly configuration: Configuration;
  readonly clock: Clock;
  readonly log: Logger;
  readonly heartbeatMs: number;
  readonly received: Counter;
}

/** The streams to and from other hosts. */
export class PeerLinks implements PeerHandler {
  /** Hints on endpoints from other hosts. */
  readonly hints: Stream<EndpointHint>;
  /** Load reports that other hosts got. */
  readonly loads: Stream<readonly LoadHint[]>;
  /** Counts requests in flight; set by the service that knows. */
  countInFlight: () => number = () => 0;
  private readonly hintChannel = new Channel<EndpointHint>();
  private readonly loadChannel = new Channel<readonly LoadHint[]>();
  private readonly ownHints = new Channel<Passed>();
  private readonly links = new Map<string, AbortController>();
  private readonly revisions = new Map<string, number>();
  private readonly outgoing: Stream<Passed>;

  constructor(private readonly parts: LinkParts) {
    const {membership, configuration} = parts;
    this.hints = this.hintChannel.stream;
    this.loads = this.loadChannel.stream;
    const members = membership.updates.map((m) => ({...NOTHING, members: m}));
    const changes = configuration.changes.map((c) => ({
      ...NOTHING,
      changes: c,
    }));
    this.outgoing = this.ownHints.stream.merge(members).merge(changes);
  }

  /** Gives the revision that a watched host last said it has in force. */
  getRevision(hostId: string): number | undefined {
    return this.revisions.get(hostId);
  }

  /** Tells the watchers of an endpoint that was lost or answers again. */
  sendHint(hint: EndpointHint): void {
    this.ownHints.post({...NOTHING, endpoints: [hint]});
  }

  /** Tells the watchers of load reports; they are not passed on further. */
  sendLoads(loads: readonly LoadHint[]): void {
    this.ownHints.post({...NOTHING, loads});
  }

  async *watch(
    watcher: MemberNote,
    signal: AbortSignal,
  ): AsyncGenerator<PeerNews> {
    const {membership, heartbeatMs} = this.parts;
    const queue = new UpdateQueue<Passed>(MAX_QUEUED);
    queue.readFrom(this.outgoing, signal);
    membership.applyNotes([watcher]);
    yield this.createNews({...NOTHING, members: membership.view.list()});
    while (!signal.aborted && !queue.hasOverflowed) {
      const items = await queue.takeAll(heartbeatMs, signal);
      yield this.createNews(createJoined(items));
    }
  }

  applyTold(notes: readonly MemberNote[]): readonly MemberNote[] {
    const {membership} = this.parts;
    membership.applyNotes(notes);
    const ids = new Set(notes.map((note) => note.hostId));
    return membership.view.list().filter((note) => ids.has(note.hostId));
  }

  getConfiguration(afterRevision: number): ConfigurationPart {
    const {reader, revision} = this.parts.configuration;
    const changes = reader.getChangesAfter(afterRevision);
    if (changes !== undefined) {
      const texts = changes.map((change) => JSON.stringify(change));
      return {revision, changes: texts, snapshot: ''};
    }
    const snapshot = JSON.stringify(reader.getSnapshot());
    return {revision, changes: [], snapshot};
  }

  /** Opens and closes links so that they fit the members of now. */
  updateLinks(): void {
    const {view} = this.parts.membership;
    const now = this.parts.clock.getNow();
    const targets = new Map<string, string>();
    for (const note of view.listWatchTargets()) {
      targets.set(note.peerAddress, note.hostId);
    }
    for (const address of view.listReconnectPeers(MAX_TRIED, now)) {
      targets.set(address, '');
    }
    const watched = [...targets.values()].filter((hostId) => hostId !== '');
    view.setWatched(watched, now);
    for (const [address, link] of this.links) {
      if (!targets.has(address)) link.abort();
    }
    for (const [address, hostId] of targets) {
      if (!this.links.has(address)) this.openLink(address, hostId);
    }
  }

  /** Closes all links. */
  close(): void {
    for (const link of this.links.values()) link.abort();
  }

  private openLink(address: string, hostId: string): void {
    const controller = new AbortController();
    this.links.set(address, controller);
    void this.runLink(address, hostId, controller.signal).finally(() => {
      this.links.delete(address);
    });
  }

  /** @param hostId The host at the address; empty when it is not known. */
  private async runLink(
    address: string,
    hostId: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {membership, log, clock} = this.parts;
    const client = new PeerClient(address);
    try {
      const own = membership.view.self;
      for await (const news of client.watch(own, signal)) {
        await this.apply(client, news);
      }
    } catch (thrown) {
      const error = getErrorText(thrown);
      if (!signal.aborted) log.writeDebug('A link broke.', {address, error});
      if (isRefused(thrown)) membership.recordConnectionRefused(hostId);
    }
    client.close();
    await clock.wait(LINK_CHECK_MS, signal);
  }

  private async apply(client: PeerClient, news: PeerNews): Promise<void> {
    const {membership, configuration, clock, received} = this.parts;
    received.inc();
    const {sequence} = membership.view.self;
    membership.applyNotes(news.members);
    // Others may have given this host up and not be watching it any more.
    const contradicts = membership.view.self.sequence !== sequence;
    if (contradicts) await client.sendNotes([membership.view.self]);
    for (const hint of news.endpoints) this.hintChannel.post(hint);
    if (news.loads.length > 0) this.loadChannel.post(news.loads);
    const {heartbeat} = news;
    if (heartbeat === undefined) return;
    const {hostId, incarnation, revision, tableAgeMs} = heartbeat;
    this.revisions.set(hostId, revision);
    membership.view.recordHeartbeat(hostId, incarnation, clock.getNow());
    await this.correct(client, hostId);
    configuration.applyChanges(news.changes.map(parseChange));
    if (configuration.revision < revision) await this.loadFrom(client);
    if (configuration.revision >= revision) {
      configuration.recordTableContact(tableAgeMs);
    }
  }

  /** Tells a host that is heard, though it counts as dead, of that. */
  private async correct(client: PeerClient, hostId: string): Promise<void> {
    const {view} = this.parts.membership;
    const note = view.find(hostId);
    if (note?.state !== 'dead' && note?.state !== 'suspect') return;
    const better = await client.sendNotes([note]);
    if (better.isOk()) this.parts.membership.applyNotes(better.value);
  }

  private async loadFrom(client: PeerClient): Promise<void> {
    const {configuration} = this.parts;
    const part = await client.getConfiguration(configuration.revision);
    if (part.isErr()) return;
    const {changes, snapshot} = part.value;
    if (snapshot === '') configuration.applyChanges(changes.map(parseChange));
    else {
      configuration.applySnapshot(SNAPSHOT_SCHEMA.parse(JSON.parse(snapshot)));
    }
  }

  private createNews(passed: Passed): PeerNews {
    const {host, configuration} = this.parts;
    return {
      heartbeat: {
        hostId: host.hostId,
        incarnation: host.incarnation,
        revision: configuration.revision,
        tableAgeMs: configuration.tableAgeMs,
        inFlight: this.countInFlight(),
      },
      members: passed.members,
      endpoints: passed.endpoints,
      loads: passed.loads,
      changes: passed.changes.map((change) => JSON.stringify(change)),
    };
  }
}

/** The key of the service. */
export const PEER_LINKS = createServiceKey<PeerLinks>('peers');

const SETTINGS = z.object({
  heartbeatMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'The longest that a host is silent towards its watchers.',
  }),
});

/** Declares the service. */
export const PEER_LINKS_SERVICE = createService({
  key: PEER_LINKS,
  settings: SETTINGS,
  needs: [CONFIGURATION, HOST, LISTENERS, MEMBERSHIP],
  create(context, settings) {
    const api = new PeerLinks({
      host: context.find(HOST),
      membership: context.find(MEMBERSHIP),
      configuration: context.find(CONFIGURATION),
      clock: context.clock,
      log: context.log,
      heartbeatMs: settings.heartbeatMs,
      received: new Counter({
        name: 'irisdock_peers_messages_received_total',
        help: 'Messages received from other hosts, a count.',
        registers: [context.metrics],
      }),
    });
    const checks = new Repeater(
      (signal) => context.clock.wait(LINK_CHECK_MS, signal),
      () => {
        api.updateLinks();
        return Promise.resolve();
      },
      context.log,
    );
    return {
      api,
      start() {
        context.find(LISTENERS).peers.setHandler(api);
        checks.start();
        return Promise.resolve();
      },
      async stop() {
        await checks.stop();
        api.close();
      },
    };
  },
});

function parseChange(text: string): Change {
  return CHANGE_SCHEMA.parse(JSON.parse(text));
}

function createJoined(items: readonly Passed[]): Passed {
  return {
    members: items.flatMap((item) => item.members),
    changes: items.flatMap((item) => item.changes),
    endpoints: items.flatMap((item) => item.endpoints),
    loads: items.flatMap((item) => item.loads),
  };
}
