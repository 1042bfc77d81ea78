/** The kind `service`: something callers can ask for by name. */
import * as z from 'zod';
import {createKind, NAME_SCHEMA, type Reference} from '../kind.js';

const COMMON = {
  /** Whether a call may be sent again when the caller does not say. */
  repeatable: z.boolean().default(true),
  /** Requests that may wait on one entry host. */
  maxQueue: z.number().int().min(0).max(100_000).default(200),
  /** The longest that a request waits, in milliseconds. */
  maxQueueMs: z.number().int().min(0).max(600_000).default(5000),
};

/** The spec of a service. */
export const SERVICE_SCHEMA = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('generation'),
    modelVersion: NAME_SCHEMA,
    adapters: z.array(NAME_SCHEMA).default([]),
    maxTokens: z.number().int().min(1).max(1_000_000).default(16_384),
    /**
     * Whether a generation that is not repeatable may go on elsewhere from
     * the tokens passed on: docs/design/at_most_once.md.
     */
    continuation: z.enum(['allowed', 'never']).default('allowed'),
    ...COMMON,
  }),
  z.strictObject({
    type: z.literal('plain'),
    /** The longest that one call may take, in milliseconds. */
    callMs: z.number().int().min(1).max(600_000).default(10_000),
    ...COMMON,
  }),
]);
/** The spec of a service. */
export type ServiceSpec = z.infer<typeof SERVICE_SCHEMA>;
/** The spec of a service that generates text. */
export type GenerationSpec = Extract<ServiceSpec, {type: 'generation'}>;
/** The spec of a service that is called plainly. */
export type PlainSpec = Extract<ServiceSpec, {type: 'plain'}>;

/** The kind `service`. */
export const SERVICE_KIND = createKind({
  name: 'service',
  description: 'Something callers can ask for by name.',
  schema: SERVICE_SCHEMA,
  listReferences(spec): Reference[] {
    if (spec.type === 'plain') return [];
    const adapters = spec.adapters.map((name) => ({
      kind: 'adapter' as const,
      name,
      field: 'adapters',
    }));
    const name = spec.modelVersion;
    return [{kind: 'modelVersion', name, field: 'modelVersion'}, ...adapters];
  },
});
