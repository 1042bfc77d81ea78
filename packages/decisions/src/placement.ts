/** Which failure domains the placement rules leave to a request. */
import type {PlacementRuleSpec} from '@irisdock/resources';

/** What the rules come to for one service and team. */
export interface PlacementConstraints {
  /** Domains that are allowed; absent is all. */
  readonly required: ReadonlySet<string> | undefined;
  readonly avoided: ReadonlySet<string>;
  readonly preferred: ReadonlySet<string>;
}

/** Combines the rules that hold for a service and a team. */
export function computePlacementConstraints(
  rules: Iterable<PlacementRuleSpec>,
  service: string,
  team: string,
): PlacementConstraints {
  let required: Set<string> | undefined;
  const avoided = new Set<string>();
  const preferred = new Set<string>();
  for (const rule of rules) {
    if (rule.service !== service) continue;
    if (rule.team !== undefined && rule.team !== team) continue;
    const domains = new Set(rule.failureDomains);
    if (rule.effect === 'require') required = computeCommon(required, domains);
    const sum = rule.effect === 'avoid' ? avoided : preferred;
    if (rule.effect === 'require') continue;
    for (const domain of domains) sum.add(domain);
  }
  return {required, avoided, preferred};
}

/** Tells whether a request may run in a failure domain. */
export function isDomainAllowed(
  placement: PlacementConstraints,
  domain: string,
): boolean {
  if (placement.avoided.has(domain)) return false;
  return placement.required?.has(domain) ?? true;
}

function computeCommon(
  before: Set<string> | undefined,
  more: Set<string>,
): Set<string> {
  if (before === undefined) return more;
  return new Set([...before].filter((domain) => more.has(domain)));
}
