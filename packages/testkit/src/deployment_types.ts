/** What a deployment of processes is made of. */
import * as z from 'zod';
import type {RunningProcess} from './process.js';

/** A daemon's places as its ready line gives them. */
export const PLACES_SCHEMA = z.object({
  caller: z.string(),
  operator: z.string(),
  peer: z.string(),
});
/** A daemon's places. */
export type DaemonPlaces = z.infer<typeof PLACES_SCHEMA>;

/** A daemon of the deployment. */
export interface DaemonNode {
  readonly process: RunningProcess;
  readonly places: DaemonPlaces;
  readonly failureDomain: string;
}

/** An endpoint of the deployment. */
export interface EndpointNode {
  /** The name that an engine signs its tokens with. */
  readonly name: string;
  readonly process: RunningProcess;
  readonly address: string;
  readonly service: string;
  readonly failureDomain: string;
  state: 'leaving' | 'live';
}

/** The size and settings of a deployment. */
export interface DeploymentOptions {
  readonly daemons: number;
  readonly engines: number;
  readonly plains?: number;
  /** Engines that share one process, for measurements of many endpoints. */
  readonly manyEngines?: number;
  readonly daemonArgs?: readonly string[];
  /** Further environment variables of the daemons. */
  readonly daemonEnv?: Readonly<Record<string, string>>;
  readonly engineArgs?: readonly string[];
  readonly platformArgs?: readonly string[];
  /** Failure domains, given to daemons and endpoints in turn. */
  readonly failureDomains?: readonly string[];
}

/** What `GET /v1/addresses` answers. */
export interface AddressAnswer {
  readonly addresses: readonly {
    readonly address: string;
    readonly failureDomain: string;
    readonly requestIds: readonly string[];
  }[];
  readonly keepForSeconds: number;
}

/** Counts of one request on an engine. */
export interface EngineCounts {
  readonly starts: number;
  readonly continues: number;
  readonly attaches: number;
  readonly tokens: number;
}

/** The signing key of all hosts of a test. */
export const KEY = 'a key for tests only';
/** The service of the engines, and its team and plain service. */
export const NAMES = {
  service: 'captions',
  plain: 'lookups',
  model: 'iris-1',
  team: 'atlas',
};

/** Resources that make a deployment serve. */
export const BASE_RESOURCES = [
  {
    kind: 'modelVersion',
    name: NAMES.model,
    spec: {model: 'iris', version: '1', weights: 'iris/1'},
  },
  {
    kind: 'service',
    name: NAMES.service,
    spec: {type: 'generation', modelVersion: NAMES.model},
  },
  {kind: 'service', name: NAMES.plain, spec: {type: 'plain'}},
  {kind: 'team', name: NAMES.team, spec: {}},
];
