/**
 * The service `peers`: exchanges updates between hosts. Each host watches a few
 * others. A watch delivers heartbeats, member notes, configuration changes and
 * endpoint hints. Each host forwards member notes and configuration changes
 * once, when they are new to it.
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

const MAX_QUEUED_BATCHES = 1000;
const LINK_CHECK_INTERVAL_MS = 250;
const MAX_RECONNECT_PEERS = 2;

/** Updates for the watchers of this host; each field may be empty. */
interface UpdateBatch {
  readonly members: readonly MemberNote[];
  readonly changes: readonly Change[];
  readonly endpoints: readonly EndpointHint[];
  readonly loads: readonly LoadHint[];
}

const EMPTY_BATCH: UpdateBatch = {
  members: [],
  changes: [],
  endpoints: [],
  loads: [],
};

/** The dependencies of the service. */
interface PeerLinksParts {
  readonly host: Host;
  readonly membership: Membership;
  readonly configuration: Configuration;
  readonly clock: Clock;
  readonly log: Logger;
  readonly heartbeatMs: number;
  readonly receivedMessages: Counter;
}

/** The watches to and from other hosts. */
export class PeerLinks implements PeerHandler {
  /** Endpoint hints received from other hosts. */
  readonly hints: Stream<EndpointHint>;
  /** Load reports received via other hosts. */
  readonly loads: Stream<readonly LoadHint[]>;
  /** Counts requests in flight; set by the service `streams`. */
  countInFlight: () => number = () => 0;
  private readonly hintChannel = new Channel<EndpointHint>();
  private readonly loadChannel = new Channel<readonly LoadHint[]>();
  private readonly localUpdates = new Channel<UpdateBatch>();
  private readonly links = new Map<string, AbortController>();
  private readonly reportedRevisions = new Map<string, number>();
  private readonly outgoing: Stream<UpdateBatch>;

  constructor(private readonly parts: PeerLinksParts) {
    const {membership, configuration} = parts;
    this.hints = this.hintChannel.stream;
    this.loads = this.loadChannel.stream;
    const members = membership.updates.map((m) => ({
      ...EMPTY_BATCH,
      members: m,
    }));
    const changes = configuration.changes.map((c) => ({
      ...EMPTY_BATCH,
      changes: c,
    }));
    this.outgoing = this.localUpdates.stream.merge(members).merge(changes);
  }

  /** Returns the active revision that a watched host last reported. */
  getRevision(hostId: string): number | undefined {
    return this.reportedRevisions.get(hostId);
  }

  /** Sends the watchers a hint about a failed or stalled endpoint. */
  sendHint(hint: EndpointHint): void {
    this.localUpdates.post({...EMPTY_BATCH, endpoints: [hint]});
  }

  /** Sends load reports to the watchers, which do not forward them. */
  sendLoads(loads: readonly LoadHint[]): void {
    this.localUpdates.post({...EMPTY_BATCH, loads});
  }

  async *watch(
    watcher: MemberNote,
    signal: AbortSignal,
  ): AsyncGenerator<PeerNews> {
    const {membership, heartbeatMs} = this.parts;
    const queue = new UpdateQueue<UpdateBatch>(MAX_QUEUED_BATCHES);
    queue.readFrom(this.outgoing, signal);
    membership.applyNotes([watcher]);
    yield this.createPeerNews({
      ...EMPTY_BATCH,
      members: membership.view.list(),
    });
    while (!signal.aborted && !queue.hasOverflowed) {
      const batches = await queue.takeAll(heartbeatMs, signal);
      yield this.createPeerNews(createJoinedBatch(batches));
    }
  }

  applyTold(notes: readonly MemberNote[]): readonly MemberNote[] {
    const {membership} = this.parts;
    membership.applyNotes(notes);
    const ids = new Set(notes.map((note) => note.hostId));
    return membership.view.list().filter((note) => ids.has(note.hostId));
  }

  getConfiguration(afterRevision: number): ConfigurationPart {
    const {activeState, revision} = this.parts.configuration;
    const changes = activeState.getChangesAfter(afterRevision);
    if (changes !== undefined) {
      const texts = changes.map((change) => JSON.stringify(change));
      return {revision, changes: texts, snapshot: ''};
    }
    const snapshot = JSON.stringify(activeState.getSnapshot());
    return {revision, changes: [], snapshot};
  }

  /** Opens and closes links to match the current membership. */
  updateLinks(): void {
    const {view} = this.parts.membership;
    const now = this.parts.clock.getNow();
    const targets = new Map<string, string>();
    for (const note of view.listWatchTargets()) {
      targets.set(note.peerAddress, note.hostId);
    }
    for (const address of view.listReconnectPeers(MAX_RECONNECT_PEERS, now)) {
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
    const abortController = new AbortController();
    this.links.set(address, abortController);
    void this.runLink(address, hostId, abortController.signal).finally(() => {
      this.links.delete(address);
    });
  }

  /** @param hostId The host at the address; empty if unknown. */
  private async runLink(
    address: string,
    hostId: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {membership, log, clock} = this.parts;
    const client = new PeerClient(address);
    try {
      const own = membership.view.self;
      for await (const update of client.watch(own, signal)) {
        await this.apply(client, update);
      }
    } catch (thrown) {
      const error = getErrorText(thrown);
      if (!signal.aborted) log.writeDebug('A link failed.', {address, error});
      if (isRefused(thrown)) membership.recordConnectionRefused(hostId);
    }
    client.close();
    await clock.wait(LINK_CHECK_INTERVAL_MS, signal);
  }

  private async apply(client: PeerClient, update: PeerNews): Promise<void> {
    const {membership, configuration, clock, receivedMessages} = this.parts;
    receivedMessages.inc();
    const {sequence} = membership.view.self;
    membership.applyNotes(update.members);
    // Other hosts may consider this one dead and have stopped watching it, so
    // the corrected note is sent to them.
    const wasContradicted = membership.view.self.sequence !== sequence;
    if (wasContradicted) await client.sendNotes([membership.view.self]);
    for (const hint of update.endpoints) this.hintChannel.post(hint);
    if (update.loads.length > 0) this.loadChannel.post(update.loads);
    const {heartbeat} = update;
    if (heartbeat === undefined) return;
    const {hostId, incarnation, revision, tableAgeMs} = heartbeat;
    this.reportedRevisions.set(hostId, revision);
    membership.view.recordHeartbeat(hostId, incarnation, clock.getNow());
    await this.correctNote(client, hostId);
    configuration.applyChanges(update.changes.map(parseChange));
    if (configuration.revision < revision) await this.loadConfiguration(client);
    if (configuration.revision >= revision) {
      configuration.recordTableContact(tableAgeMs);
    }
  }

  /**
   * Informs a host that counts as suspect or dead although it sends heartbeats;
   * it responds with newer notes.
   */
  private async correctNote(client: PeerClient, hostId: string): Promise<void> {
    const {view} = this.parts.membership;
    const note = view.find(hostId);
    if (note?.state !== 'dead' && note?.state !== 'suspect') return;
    const response = await client.sendNotes([note]);
    if (response.isOk()) this.parts.membership.applyNotes(response.value);
  }

  private async loadConfiguration(client: PeerClient): Promise<void> {
    const {configuration} = this.parts;
    const part = await client.getConfiguration(configuration.revision);
    if (part.isErr()) return;
    const {changes, snapshot} = part.value;
    if (snapshot === '') configuration.applyChanges(changes.map(parseChange));
    else {
      configuration.applySnapshot(SNAPSHOT_SCHEMA.parse(JSON.parse(snapshot)));
    }
  }

  private createPeerNews(batch: UpdateBatch): PeerNews {
    const {host, configuration} = this.parts;
    return {
      heartbeat: {
        hostId: host.hostId,
        incarnation: host.incarnation,
        revision: configuration.revision,
        tableAgeMs: configuration.tableAgeMs,
        inFlight: this.countInFlight(),
      },
      members: batch.members,
      endpoints: batch.endpoints,
      loads: batch.loads,
      changes: batch.changes.map((change) => JSON.stringify(change)),
    };
  }
}

/** The key of the service. */
export const PEER_LINKS = createServiceKey<PeerLinks>('peers');

const SETTINGS = z.object({
  heartbeatMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'Maximum interval between messages to a watcher.',
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
      receivedMessages: new Counter({
        name: 'irisdock_peers_messages_received_total',
        help: 'Messages received from other hosts, a count.',
        registers: [context.metrics],
      }),
    });
    const checks = new Repeater(
      (signal) => context.clock.wait(LINK_CHECK_INTERVAL_MS, signal),
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

function createJoinedBatch(batches: readonly UpdateBatch[]): UpdateBatch {
  return {
    members: batches.flatMap((batch) => batch.members),
    changes: batches.flatMap((batch) => batch.changes),
    endpoints: batches.flatMap((batch) => batch.endpoints),
    loads: batches.flatMap((batch) => batch.loads),
  };
}
