/** Chooses the engine for a request: rules, models, load, prefixes. */
import type {Random} from '@irisdock/kernel';
import {
  chooseEndpoint,
  computePlacementConstraints,
  isDomainAllowed,
  type PlacementConstraints,
} from '@irisdock/decisions';
import type {EndpointRecord} from '../endpoint/endpoint_record.js';
import type {Configuration} from '../services/configuration.js';
import type {EndpointDirectory} from '../services/endpoint_directory.js';
import type {GenerationRequest} from './request_record.js';

/** What a choice goes by besides the request. */
export interface ChoiceOptions {
  /** Endpoints that just failed the request. */
  readonly avoid: ReadonlySet<string>;
  /** Whether an answer under way is continued; it goes before new work. */
  readonly resuming: boolean;
}

const FULL_AT = 1;
const FULL_AT_RESUMING = 1.5;
const LOST_TO_AVOID_DOMAIN = 2;

/** Chooses engines for one request. */
export class EngineChooser {
  private blocks: readonly string[] | undefined;

  constructor(
    private readonly request: GenerationRequest,
    private readonly directory: EndpointDirectory,
    private readonly configuration: Configuration,
    private readonly random: Random,
  ) {}

  /** Chooses an engine with room; undefined when there is none. */
  choose(options: ChoiceOptions): EndpointRecord | undefined {
    const {service, team} = this.request;
    const rules = this.configuration.listSpecs('placementRule');
    const placement = computePlacementConstraints(rules, service, team);
    const records = this.listCandidates(placement);
    const blocks = this.getBlocks(records);
    const view = chooseEndpoint(
      records.map((record) => record.getView()),
      {
        blockCount: blocks.length,
        avoidAddresses: options.avoid,
        mayRetryLost: !options.resuming,
        avoidDomains: options.resuming
          ? listLostDomains(records)
          : new Set<string>(),
        preferDomains: placement.preferred,
        maxLoad: options.resuming ? FULL_AT_RESUMING : FULL_AT,
      },
      (address) => this.directory.prefixes.countHits(address, blocks),
      this.random,
    );
    if (view === undefined) return undefined;
    this.directory.prefixes.addBlocks(view.address, blocks);
    return records.find((record) => record.address === view.address);
  }

  private listCandidates(placement: PlacementConstraints): EndpointRecord[] {
    const {service, spec, adapter} = this.request;
    return this.directory.listUsable(service).filter((record) => {
      const {models, adapters} = record.loaded;
      if (!models.includes(spec.modelVersion)) return false;
      if (adapter !== undefined && !adapters.includes(adapter)) return false;
      return isDomainAllowed(placement, record.failureDomain);
    });
  }

  private getBlocks(records: readonly EndpointRecord[]): readonly string[] {
    const engine = records[0]?.clients.engine;
    if (engine === undefined) return [];
    this.blocks ??= engine.listBlocks(this.request.prompt);
    return this.blocks;
  }
}

/** Domains in which several endpoints do not answer. */
function listLostDomains(records: readonly EndpointRecord[]): Set<string> {
  const lost = new Map<string, number>();
  for (const {isAnswering, failureDomain} of records) {
    if (isAnswering) continue;
    lost.set(failureDomain, (lost.get(failureDomain) ?? 0) + 1);
  }
  const many = [...lost].filter(([, count]) => count >= LOST_TO_AVOID_DOMAIN);
  return new Set(many.map(([domain]) => domain));
}
