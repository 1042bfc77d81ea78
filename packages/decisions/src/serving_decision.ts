/**
 * Decides whether a host may take new work with its current configuration. A
 * host that reaches neither the platform's table nor a host that does may miss
 * changes accepted elsewhere. Only a host in contact with a majority of all
 * hosts accepts changes. So a host that is in contact with a majority, none of
 * which reaches the table, knows that nobody accepts any. See
 * docs/design/cut_off_host.md.
 */

/** The contact of a host with the platform's table and with other hosts. */
export interface ContactState {
  /** Whether the host has a configuration yet. */
  readonly configured: boolean;
  /** The time since the table was read, directly or by a peer, in ms. */
  readonly tableAgeMs: number;
  /** Hosts that are currently reachable, this one included. */
  readonly hostsHeard: number;
  /** All hosts by the host list and the membership, this one included. */
  readonly hostsKnown: number;
  /** The maximum of `tableAgeMs` for a current configuration, in ms. */
  readonly maxTableAgeMs: number;
}

/** Whether a host may take new work. */
export type ServingDecision =
  | 'serve'
  /** No host reaches the platform; the current configuration stays valid. */
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
