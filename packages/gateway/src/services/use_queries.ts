/**
 * Asks the home hosts of engines what runs there. An engine's home group is
 * told of every stream that is placed on it, so one of its hosts knows what the
 * engine itself would say, without a connection to the engine.
 */
import type {HostView} from '@irisdock/decisions';
import {getShuffled, type Clock, type Random} from '@irisdock/kernel';
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
 * How long an answer is waited for, in ms. Ways between failure domains take
 * about 1 ms and back; a long prompt takes a second to read, so that a lost
 * question costs its caller little.
 */
const ANSWER_MS = 30;

interface OpenQuestion {
  readonly handleAnswer: (told: readonly EndpointUsageReport[]) => void;
}

/** Asks and answers. */
export class UseQueries {
  /** Set by the service that knows what runs. */
  registry: UseRegistry | undefined;
  private number = 0;
  private readonly open = new Map<number, OpenQuestion>();

  constructor(
    private readonly ownName: string,
    private readonly view: HostView<PeerLocation>,
    private readonly groups: EngineGroups,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly send: SendToHosts,
  ) {}

  /** Asks what runs on engines; what is not answered in time is left out. */
  async poll(instanceIds: readonly string[]): Promise<EndpointUsageReport[]> {
    const answers = await Promise.all(
      instanceIds.map((instanceId) => this.pollOne(instanceId)),
    );
    return answers.filter((told) => told !== undefined);
  }

  /** Answers another host. */
  acceptQuery(question: UsageQueryDatagram): void {
    const asker = this.view.find(question.name);
    const {registry: board} = this;
    if (asker === undefined || board === undefined) return;
    const uses: EndpointUsageReport[] = [];
    for (const instanceId of question.instanceIds) {
      const told = board.findUseExcept(instanceId, question.name);
      if (told !== undefined) uses.push(told);
    }
    const {number} = question;
    this.send([asker], {kind: 'answer', number, uses});
  }

  /** Takes the answer of another host. */
  acceptAnswer({number, uses}: UsageReplyDatagram): void {
    this.open.get(number)?.handleAnswer(uses);
  }

  private async pollOne(
    instanceId: string,
  ): Promise<EndpointUsageReport | undefined> {
    const homes = this.groups.listHomeHosts(instanceId);
    const [host] = getShuffled(homes, this.random);
    if (host === undefined) return undefined;
    this.number++;
    const {number} = this;
    const question: PeerDatagram = {
      kind: 'question',
      name: this.ownName,
      number,
      instanceIds: [instanceId],
    };
    const limit = new AbortController();
    let told: EndpointUsageReport | undefined;
    this.open.set(number, {
      handleAnswer: (uses) => {
        told = uses.find((one) => one.instanceId === instanceId);
        limit.abort();
      },
    });
    this.send([host], question);
    await this.clock.wait(ANSWER_MS, limit.signal);
    this.open.delete(number);
    return told;
  }
}
