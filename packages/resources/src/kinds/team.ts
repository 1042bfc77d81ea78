/** The kind `team`: whose requests they are. */
import * as z from 'zod';
import {createKind, NAME_SCHEMA, type Reference} from '../kind.js';

/** The spec of a team. */
export const TEAM_SCHEMA = z.strictObject({
  /** The team's part of a service that is short, against other teams'. */
  weight: z.number().int().min(1).max(1000).default(1),
  /** Requests in flight on one entry host; 0 is no bound. */
  maxInFlight: z.number().int().min(0).max(100_000).default(0),
  /** The services it may use; empty is all. */
  services: z.array(NAME_SCHEMA).default([]),
});
/** The spec of a team. */
export type TeamSpec = z.infer<typeof TEAM_SCHEMA>;

/** The kind `team`. */
export const TEAM_KIND = createKind({
  name: 'team',
  description: 'Whose requests they are.',
  schema: TEAM_SCHEMA,
  listReferences: (spec): Reference[] =>
    spec.services.map((name) => ({kind: 'service', name, field: 'services'})),
});
