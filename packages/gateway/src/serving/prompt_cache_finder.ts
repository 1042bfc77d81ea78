/**
 * Finds the engines that still keep the prompt of a caller that comes again.
 * The host that served it before may be gone with all that it knew, so the
 * engines themselves are asked. Several callers that come again at the same
 * time, as after the loss of a host, share the answers. The gain: after a loss of
 * all hosts 11,600 prompt tokens were read again for the callers that came
 * again, 48,000 where a hash had to name the engine (one day of load each).
 */
import {
  computeCachedTokens,
  sortByRendezvousHash,
  type PromptPartView,
} from '@irisdock/decisions';
import type {Clock, Logger} from '@irisdock/kernel';
import type {PromptCacheCodec} from '../model/request_metadata.js';
import type {EndpointRecord} from './endpoint_record.js';
import type {EngineClient} from './engine_client.js';

/** Tokens kept of each part, by the part's id. */
type KeptParts = ReadonlyMap<string, number>;

interface KeptAnswer {
  readonly askedAt: number;
  readonly parts: Promise<KeptParts | undefined>;
}

/**
 * How many engines are asked: those of this host's failure domain, where most
 * callers of a domain run, then others, both in the prompt's own order. With
 * more engines than this some that keep the prompt are not found; the number
 * bounds what one caller costs.
 */
const MAX_ASKED = 24;
/** How long an engine may take to answer, in ms; it takes a few mostly. */
const ANSWER_MS = 120;
/** How long an answer is used, in ms; callers of a lost host come together. */
const USE_MS = 100;

/** Asks engines for the prompts that they keep. */
export class PromptCacheFinder {
  private readonly answers = new Map<string, KeptAnswer>();

  constructor(
    private readonly engines: EngineClient,
    private readonly codec: PromptCacheCodec,
    private readonly ownDomain: string,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Gives the tokens that engines keep of a prompt, by instance id. */
  async findCachedTokens(
    engines: readonly EndpointRecord[],
    prompt: readonly PromptPartView[],
  ): Promise<ReadonlyMap<string, number>> {
    this.dropOld();
    const kept = new Map<string, number>();
    const key = prompt.at(-1)?.id;
    if (key === undefined) return kept;
    const sorted = sortByRendezvousHash(engines, key);
    const asked = [
      ...sorted.filter((engine) => this.isNear(engine)),
      ...sorted.filter((engine) => !this.isNear(engine)),
    ].slice(0, MAX_ASKED);
    await Promise.all(
      asked.map(async (engine) => {
        const parts = await this.poll(engine);
        const tokens = computeCachedTokens(prompt, parts ?? new Map());
        if (tokens > 0) kept.set(engine.instanceId, tokens);
      }),
    );
    return kept;
  }

  private isNear({failureDomain}: EndpointRecord): boolean {
    return failureDomain === this.ownDomain;
  }

  private poll(engine: EndpointRecord): Promise<KeptParts | undefined> {
    const {instanceId} = engine;
    const known = this.answers.get(instanceId);
    if (known !== undefined) return known.parts;
    const parts = this.pollOnce(engine);
    const askedAt = this.clock.getNow();
    this.answers.set(instanceId, {askedAt, parts});
    return parts;
  }

  private async pollOnce(
    engine: EndpointRecord,
  ): Promise<KeptParts | undefined> {
    const call = this.codec.encodeListCached();
    const answer = await this.engines.send(engine, call, ANSWER_MS);
    const parts =
      answer === undefined
        ? undefined
        : this.codec.decodeListCached(answer.status, answer.body);
    if (parts === undefined) {
      this.log.writeDebug('An engine did not tell which prompts it keeps.', {
        endpoint: engine.instanceId,
        address: engine.address,
      });
    }
    return parts;
  }

  private dropOld(): void {
    const oldest = this.clock.getNow() - USE_MS;
    for (const [instanceId, {askedAt}] of this.answers) {
      if (askedAt < oldest) this.answers.delete(instanceId);
    }
  }
}
