/**
 * Asks hosts in the home groups of engines what runs on these engines. A home
 * group is informed of every stream that is placed on its engines, so one of
 * its hosts can answer for an engine without a connection to it.
 */
import {getHostSample, type HostView} from '@irisdock/decisions';
import type {Clock, Random} from '@irisdock/kernel';
import type {
  UsageReplyDatagram,
  PeerDatagram,
  PeerLocation,
  UsageQueryDatagram,
  EndpointUsageReport,
} from '../model/peer_message.js';
import type {EngineGroups} from './engine_groups.js';
import type {SendToHosts, UseRegistry} from './use_publisher.js';

/**
 * How long to wait for an answer, in ms. A round trip between failure domains
 * takes about 1 ms. Reading a long prompt takes a second, so the delay by a
 * lost query matters little to the caller.
 */
const ANSWER_TIMEOUT_MS = 30;

interface PendingQuery {
  readonly handleAnswer: (uses: readonly EndpointUsageReport[]) => void;
}

/** Sends and answers queries. */
export class UseQueries {
  /** Set by the service that knows the endpoints. */
  registry: UseRegistry | undefined;
  private lastNumber = 0;
  private readonly pending = new Map<number, PendingQuery>();

  constructor(
    private readonly ownName: string,
    private readonly view: HostView<PeerLocation>,
    private readonly groups: EngineGroups,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly send: SendToHosts,
  ) {}

  /**
   * Asks what runs on engines; engines without an answer in time are omitted.
   */
  async poll(instanceIds: readonly string[]): Promise<EndpointUsageReport[]> {
    const answers = await Promise.all(
      instanceIds.map((instanceId) => this.pollOne(instanceId)),
    );
    return answers.filter((use) => use !== undefined);
  }

  /** Answers a query of another host. */
  acceptQuery(query: UsageQueryDatagram): void {
    const sender = this.view.find(query.name);
    const {registry} = this;
    if (sender === undefined || registry === undefined) return;
    const uses: EndpointUsageReport[] = [];
    for (const instanceId of query.instanceIds) {
      const use = registry.findUseExcept(instanceId, query.name);
      if (use !== undefined) uses.push(use);
    }
    const {number} = query;
    this.send([sender], {kind: 'answer', number, uses});
  }

  /** Passes an answer to the query with its number. */
  acceptAnswer({number, uses}: UsageReplyDatagram): void {
    this.pending.get(number)?.handleAnswer(uses);
  }

  private async pollOne(
    instanceId: string,
  ): Promise<EndpointUsageReport | undefined> {
    const homes = this.groups.listHomeHosts(instanceId);
    const [host] = getHostSample(homes, 1, this.random);
    if (host === undefined) return undefined;
    this.lastNumber++;
    const {lastNumber: number} = this;
    const query: PeerDatagram = {
      kind: 'question',
      name: this.ownName,
      number,
      instanceIds: [instanceId],
    };
    const answered = new AbortController();
    let use: EndpointUsageReport | undefined;
    this.pending.set(number, {
      handleAnswer: (uses) => {
        use = uses.find((candidate) => candidate.instanceId === instanceId);
        answered.abort();
      },
    });
    this.send([host], query);
    await this.clock.wait(ANSWER_TIMEOUT_MS, answered.signal);
    this.pending.delete(number);
    return use;
  }
}
