/** The kind `teamPriority`: how much a team's work matters on a service. */
import * as z from 'zod';
import {createKind, NAME_SCHEMA} from '../kind.js';

/** The spec of a team priority. */
export const TEAM_PRIORITY_SCHEMA = z.strictObject({
  team: NAME_SCHEMA,
  service: NAME_SCHEMA,
  /** Each step doubles the team's weight on the service; 0 is usual. */
  priority: z.number().int().min(-4).max(4),
});
/** The spec of a team priority. */
export type TeamPrioritySpec = z.infer<typeof TEAM_PRIORITY_SCHEMA>;

/** The kind `teamPriority`. */
export const TEAM_PRIORITY_KIND = createKind({
  name: 'teamPriority',
  description: "How much a team's work matters on a service.",
  schema: TEAM_PRIORITY_SCHEMA,
  listReferences: (spec) => [
    {kind: 'team', name: spec.team, field: 'team'},
    {kind: 'service', name: spec.service, field: 'service'},
  ],
});
