/**
 * Whether a host may take new work with the configuration it has in force. A
 * host that hears neither the platform's table nor a host that does cannot
 * know of changes accepted elsewhere. Changes are accepted only by a host in
 * contact with more than half of all hosts, so a host that is itself in
 * contact with more than half, all without the table, knows that nobody
 * accepts any: docs/design/cut_off_host.md.
 */

/** What the host knows of its contacts. */
export interface ContactState {
  /** Whether any configuration is in force yet. */
  readonly configured: boolean;
  /** Milliseconds since the table was heard, at first or second hand. */
  readonly tableAgeMs: number;
  /** Hosts heard of late, this one included. */
  readonly hostsHeard: number;
  /** Hosts there are by the list and the members, this one included. */
  readonly hostsKnown: number;
  /** How old the table's word may be, in milliseconds. */
  readonly maxTableAgeMs: number;
}

/** What a host may do. */
export type ServingDecision =
  | 'serve'
  /** The platform is out for all; what is in force stays. */
  | 'serve_in_outage'
  | 'refuse_cut_off'
  | 'refuse_no_configuration';

/** Decides whether to take new work. */
export function decideServing(state: ContactState): ServingDecision {
  if (!state.configured) return 'refuse_no_configuration';
  if (state.tableAgeMs <= state.maxTableAgeMs) return 'serve';
  return hasMajority(state) ? 'serve_in_outage' : 'refuse_cut_off';
}

/** Tells whether the host may accept changes of configuration. */
export function isChangeAllowed(state: ContactState): boolean {
  return state.configured && hasMajority(state);
}

function hasMajority(state: ContactState): boolean {
  return state.hostsHeard * 2 > state.hostsKnown;
}
