/**
 * The settings for failure domains that are lost again and again. `auto` asks
 * for them where the host's regions name more than one: such a deployment needs
 * them, and nothing else in its settings tells it from others.
 * docs/design/domain_outages.md.
 */
import * as z from 'zod';
import type {UnreachableRetries} from '../serving/retry_budgets.js';

const AUTO_SCHEMA = z.literal('auto');

/** The settings of the service `front` for lost failure domains. */
export const OUTAGE_SETTINGS = z.object({
  retryLenders: z
    .union([AUTO_SCHEMA, z.coerce.number().int().min(0)], {
      error: 'Give a whole number of at least 0, or auto.',
    })
    .default('auto')
    .meta({
      unit: 'hosts|auto',
      description:
        "How many hosts are asked for a part of their retries when this host's are used up; 0 for none; auto is 56 with several regions and 0 otherwise.",
    }),
  lateRefusalTargets: z
    .union([AUTO_SCHEMA, z.coerce.number().min(0)], {
      error: 'Give a number of at least 0, or auto.',
    })
    .default('auto')
    .meta({
      unit: 'times the target|auto',
      description:
        'A new stream is refused at once if its first event is expected later than this many times its target; 0 refuses none; auto is 1.25 with several regions and 0 otherwise.',
    }),
  unreachableRetries: z.enum(['counted', 'free', 'auto']).default('auto').meta({
    unit: 'counted|free|auto',
    description:
      'Whether a retry counts as one if the last endpoint accepted no connection; auto is free with several regions and counted otherwise.',
  }),
});

/** The values that are in force. */
export interface OutageValues {
  /** How many hosts are asked for one retry; none if 0. */
  readonly retryLenders: number;
  /** How many times its target a first event may take; none refused if 0. */
  readonly lateRefusalTargets: number;
  readonly unreachableRetries: UnreachableRetries;
}

const SINGLE_REGION_VALUES: OutageValues = {
  retryLenders: 0,
  lateRefusalTargets: 0,
  unreachableRetries: 'counted',
};
const SEVERAL_REGIONS_VALUES: OutageValues = {
  retryLenders: 56,
  lateRefusalTargets: 1.25,
  unreachableRetries: 'free',
};

/** Resolves `auto`; values that are given go first. */
export function resolveOutageSettings(
  settings: z.infer<typeof OUTAGE_SETTINGS>,
  hasSeveralRegions: boolean,
): OutageValues {
  const values = hasSeveralRegions
    ? SEVERAL_REGIONS_VALUES
    : SINGLE_REGION_VALUES;
  const {retryLenders, lateRefusalTargets, unreachableRetries} = settings;
  return {
    retryLenders: resolveAuto(retryLenders, values.retryLenders),
    lateRefusalTargets: resolveAuto(
      lateRefusalTargets,
      values.lateRefusalTargets,
    ),
    unreachableRetries: resolveAuto(
      unreachableRetries,
      values.unreachableRetries,
    ),
  };
}

function resolveAuto<T>(given: T | 'auto', value: T): T {
  return given === 'auto' ? value : given;
}
