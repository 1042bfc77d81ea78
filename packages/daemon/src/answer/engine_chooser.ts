/**
 * Chooses the engine for a request by placement rules, loaded models, load and
 * cached prompt prefixes.
 */
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

/** The criteria of a choice besides the request. */
export interface ChoiceOptions {
  /** Addresses of endpoints that have just failed the request. */
  readonly avoid: ReadonlySet<string>;
  /** Whether a started answer is continued; it has priority over new work. */
  readonly resuming: boolean;
}

/** Load per slot from which an endpoint gets no new work. */
const MAX_LOAD = 1;
/** The same for a started answer that is continued. */
const MAX_LOAD_RESUMING = 1.5;
/** Unresponsive endpoints from which on their failure domain is avoided. */
const MIN_LOST_TO_AVOID_DOMAIN = 2;

/** Chooses engines for one request. */
export class EngineChooser {
  private blocks: readonly string[] | undefined;

  constructor(
    private readonly request: GenerationRequest,
    private readonly directory: EndpointDirectory,
    private readonly configuration: Configuration,
    private readonly random: Random,
  ) {}

  /** Chooses an engine with spare capacity; undefined if there is none. */
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
        maxLoad: options.resuming ? MAX_LOAD_RESUMING : MAX_LOAD,
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

/** Lists the failure domains in which several endpoints do not respond. */
function listLostDomains(records: readonly EndpointRecord[]): Set<string> {
  const lost = new Map<string, number>();
  for (const {isAnswering, failureDomain} of records) {
    if (isAnswering) continue;
    lost.set(failureDomain, (lost.get(failureDomain) ?? 0) + 1);
  }
  const affected = [...lost].filter(
    ([, count]) => count >= MIN_LOST_TO_AVOID_DOMAIN,
  );
  return new Set(affected.map(([domain]) => domain));
}
