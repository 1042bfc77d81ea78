/** The kinds by name. */
import type {AnyKind, KindName} from './kind.js';
import {ADAPTER_KIND} from './kinds/adapter.js';
import {MODEL_VERSION_KIND} from './kinds/model_version.js';
import {PLACEMENT_RULE_KIND} from './kinds/placement_rule.js';
import {SERVICE_KIND} from './kinds/service.js';
import {TEAM_PRIORITY_KIND} from './kinds/team_priority.js';
import {TEAM_KIND} from './kinds/team.js';

/** Every kind by its name. */
export const KINDS: Readonly<Record<KindName, AnyKind>> = {
  service: SERVICE_KIND,
  modelVersion: MODEL_VERSION_KIND,
  adapter: ADAPTER_KIND,
  team: TEAM_KIND,
  teamPriority: TEAM_PRIORITY_KIND,
  placementRule: PLACEMENT_RULE_KIND,
};

/** Tells whether a text names a kind. */
export function isKindName(text: string): text is KindName {
  return Object.hasOwn(KINDS, text);
}
