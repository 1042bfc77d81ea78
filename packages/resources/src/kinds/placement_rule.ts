/** The kind `placementRule`: where a service's requests may run. */
import * as z from 'zod';
import {createKind, NAME_SCHEMA, type Reference} from '../kind.js';

/** The spec of a placement rule. */
export const PLACEMENT_RULE_SCHEMA = z.strictObject({
  service: NAME_SCHEMA,
  /** The team it holds for; absent is all teams. */
  team: NAME_SCHEMA.optional(),
  /** `require` only these domains, `avoid` them, or `prefer` them. */
  effect: z.enum(['require', 'avoid', 'prefer']),
  failureDomains: z.array(z.string().min(1)).min(1),
});
/** The spec of a placement rule. */
export type PlacementRuleSpec = z.infer<typeof PLACEMENT_RULE_SCHEMA>;

/** The kind `placementRule`. */
export const PLACEMENT_RULE_KIND = createKind({
  name: 'placementRule',
  description: "Where a service's requests may run.",
  schema: PLACEMENT_RULE_SCHEMA,
  listReferences(spec): Reference[] {
    const service = spec.service;
    const team = spec.team;
    return [
      {kind: 'service', name: service, field: 'service'},
      ...(team === undefined
        ? []
        : [{kind: 'team' as const, name: team, field: 'team'}]),
    ];
  },
});
