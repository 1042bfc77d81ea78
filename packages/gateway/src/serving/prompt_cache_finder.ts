/**
 * Finds the engines that still have the prompt of a reconnecting caller in
 * their cache. The host that served the caller before may be lost with its
 * state, so the engines are polled. Callers that reconnect at the same time, as
 * after the loss of a host, share the answers. After a loss of all hosts,
 * reconnecting callers cost 11,600 prompt tokens of repeated processing this
 * way, but 48,000 when a hash of the prompt chose the engine.
 */
import {
  type HostPosition,
  computeCachedTokens,
  sortByRendezvousHash,
  type PromptPartView,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {PromptCacheCodec} from '../model/request_metadata.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineClient} from './engine_client.js';

/** The number of cached tokens of each prompt part, by the part's id. */
type CachedParts = ReadonlyMap<string, number>;

interface PolledAnswer {
  readonly polledAt: number;
  readonly parts: Promise<CachedParts | undefined>;
}

/**
 * How many engines are polled: first those of this host's failure domain, where
 * most of its callers' streams run, then others of its region, then others, each
 * in rendezvous-hash order of the prompt. This bounds the cost of one caller; with more engines, some
 * that have the prompt are not found.
 */
const MAX_POLLED_ENGINES = 24;
/** The timeout of a poll, in ms; an engine mostly takes a few ms. */
const POLL_TIMEOUT_MS = 120;
/** How long an answer is reused, in ms; lost hosts' callers come together. */
const ANSWER_TTL_MS = 100;

/** Polls engines for the prompts in their caches. */
export class PromptCacheFinder {
  private readonly answers = new Map<string, PolledAnswer>();

  constructor(
    private readonly engineClient: EngineClient,
    private readonly codec: PromptCacheCodec,
    private readonly position: HostPosition,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Returns how many tokens of a prompt are cached, by engine instance id. */
  async findCachedTokens(
    engines: readonly EndpointRecord[],
    prompt: readonly PromptPartView[],
  ): Promise<ReadonlyMap<string, number>> {
    this.dropExpired();
    const cachedTokens = new Map<string, number>();
    const key = prompt.at(-1)?.id;
    if (key === undefined) return cachedTokens;
    const sorted = sortByRendezvousHash(engines, key);
    const {regions, failureDomain} = this.position;
    const split = regions.splitByProximity(
      sorted,
      failureDomain,
      (engine) => engine.failureDomain,
    );
    const polled = [...split.domain, ...split.region, ...split.elsewhere].slice(
      0,
      MAX_POLLED_ENGINES,
    );
    await Promise.all(
      polled.map(async (engine) => {
        const parts = await this.poll(engine);
        const tokens = computeCachedTokens(prompt, parts ?? new Map());
        if (tokens > 0) cachedTokens.set(engine.instanceId, tokens);
      }),
    );
    return cachedTokens;
  }

  private poll(engine: EndpointRecord): Promise<CachedParts | undefined> {
    const {instanceId} = engine;
    const known = this.answers.get(instanceId);
    if (known !== undefined) return known.parts;
    const parts = this.pollOnce(engine);
    const polledAt = this.clock.getNow();
    this.answers.set(instanceId, {polledAt, parts});
    return parts;
  }

  private async pollOnce(
    engine: EndpointRecord,
  ): Promise<CachedParts | undefined> {
    const call = this.codec.encodeListCached();
    const answer = await this.engineClient.send(engine, call, POLL_TIMEOUT_MS);
    const parts =
      answer === undefined
        ? undefined
        : this.codec.decodeListCached(answer.status, answer.body);
    if (parts === undefined) {
      this.log.writeDebug('An engine did not report its cached prompts.', {
        endpoint: engine.instanceId,
        address: engine.address,
      });
    }
    return parts;
  }

  private dropExpired(): void {
    const oldest = this.clock.getNow() - ANSWER_TTL_MS;
    for (const [instanceId, {polledAt}] of this.answers) {
      if (polledAt < oldest) this.answers.delete(instanceId);
    }
  }
}
