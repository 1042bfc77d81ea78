/** A team's access, weight and limits on a service. */
import type {KnownError} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {DAEMON_ERRORS} from '../errors.js';
import type {Configuration} from '../services/configuration.js';

/** A team's weight, priority and limit on a service. */
export interface TeamPolicy {
  readonly team: string;
  /** The team's weight times 2 to the power of its priority. */
  readonly weight: number;
  readonly priority: number;
  readonly maxInFlight: number;
}

/** Finds a team's policy on a service, or returns why it has no access. */
export function findTeamPolicy(
  configuration: Configuration,
  team: string | undefined,
  service: string,
): Result<TeamPolicy, KnownError> {
  if (team === undefined) return err(DAEMON_ERRORS.create('missing_team'));
  const spec = configuration.findSpec('team', team);
  if (spec === undefined) {
    return err(DAEMON_ERRORS.create('unknown_team', {team}));
  }
  if (spec.services.length > 0 && !spec.services.includes(service)) {
    return err(DAEMON_ERRORS.create('team_not_allowed', {team, service}));
  }
  const priority = findPriority(configuration, team, service);
  const weight = spec.weight * 2 ** priority;
  return ok({team, weight, priority, maxInFlight: spec.maxInFlight});
}

function findPriority(
  configuration: Configuration,
  team: string,
  service: string,
): number {
  for (const spec of configuration.listSpecs('teamPriority')) {
    if (spec.team === team && spec.service === service) return spec.priority;
  }
  return 0;
}
