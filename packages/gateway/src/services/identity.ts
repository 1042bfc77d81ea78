/** The service `host`: the identity of this host. */
import {
  computeHostWeight,
  RegionMap,
  type HostCapacity,
} from '@irisdock/decisions';
import {createService, createServiceKey, isHeaderText} from '@irisdock/kernel';
import * as z from 'zod';
import {tryParseJson} from '../model/json_value.js';

/** The name, place, size and incarnation of this host. */
export interface HostIdentity {
  readonly name: string;
  /** Hosts ignore those of other deployments; empty when none is set. */
  readonly deployment: string;
  readonly failureDomain: string;
  /** The regions of the failure domains. */
  readonly regions: RegionMap;
  /** What this host can carry; undefined if the settings do not tell. */
  readonly capacity: HostCapacity | undefined;
  /** The memory of this host, in MB; 0 if it is not known. */
  readonly memoryMb: number;
  /** Increases with each start of this host. */
  readonly incarnation: number;
}

/** The key of the service. */
export const HOST_IDENTITY = createServiceKey<HostIdentity>('host');

const REGIONS_SCHEMA = z.record(z.string(), z.string().min(1));
const NAME_FAULT =
  'Give a name without control characters and without blanks at either end.';
const REGIONS_FAULT = 'Give a JSON object with the region of each domain.';

/** The settings of the service; log lines contain the name as well. */
export const HOST_SETTINGS = z.object({
  // Other hosts and the platform get it in headers.
  name: z.string().min(1).refine(isHeaderText, NAME_FAULT).meta({
    unit: 'name',
    description: 'The unique name of this host.',
  }),
  deployment: z.string().default('').meta({
    unit: 'name',
    description:
      'The name of the deployment, the same on all its hosts; hosts of other deployments are ignored.',
  }),
  failureDomain: z.string().min(1).meta({
    unit: 'name',
    description: 'The failure domain of this host.',
  }),
  region: z.string().default('').meta({
    unit: 'name',
    description: 'The region of this host; empty if there is only one.',
  }),
  regions: z.string().default('').refine(isRegions, REGIONS_FAULT).meta({
    unit: 'JSON',
    description:
      'The region of each failure domain, as in {"a-1": "a"}; empty if there is only one region.',
  }),
  cpuShare: createSizeSchema('cores', 'This host may use so many cores.'),
  cpuCores: z.coerce.number().positive().default(1).meta({
    unit: 'factor',
    description: 'A core of this host is so many times as fast as usual.',
  }),
  linkMbps: createSizeSchema('Mbit/s', 'The rate of the network link.'),
  memoryMb: createSizeSchema('MB', 'The memory of this host.'),
});

/** Declares the service. */
export const HOST_IDENTITY_SERVICE = createService({
  key: HOST_IDENTITY,
  settings: HOST_SETTINGS,
  needs: [],
  create(context, settings) {
    if (settings.deployment === '') {
      context.log.writeWarning(
        'No deployment is set: hosts of other deployments are not ignored.',
      );
    }
    const {name, deployment, failureDomain} = settings;
    return {
      api: {
        name,
        deployment,
        failureDomain,
        regions: createRegionMap(settings),
        capacity: createCapacity(settings),
        memoryMb: settings.memoryMb,
        incarnation: context.clock.getWallNow(),
      },
    };
  },
});

type HostSettings = z.infer<typeof HOST_SETTINGS>;

/** The region of the own domain counts even if the map lacks it. */
function createRegionMap(settings: HostSettings): RegionMap {
  const {failureDomain, region} = settings;
  const regions = new Map(Object.entries(parseRegions(settings.regions)));
  if (region !== '') regions.set(failureDomain, region);
  return new RegionMap(regions);
}

function createCapacity(settings: HostSettings): HostCapacity | undefined {
  const {cpuShare, cpuCores, linkMbps, memoryMb} = settings;
  const capacity = {cores: cpuShare * cpuCores, linkMbps, memoryMb};
  return computeHostWeight(capacity) === undefined ? undefined : capacity;
}

function createSizeSchema(
  unit: string,
  description: string,
): z.ZodDefault<z.ZodCoercedNumber> {
  const text = `${description} 0 if it is not known.`;
  return z.coerce.number().min(0).default(0).meta({unit, description: text});
}

function isRegions(text: string): boolean {
  return text === '' || REGIONS_SCHEMA.safeParse(tryParseJson(text)).success;
}

/** Parses regions that `isRegions` has checked. */
function parseRegions(text: string): Readonly<Record<string, string>> {
  return text === '' ? {} : REGIONS_SCHEMA.parse(tryParseJson(text));
}
