/**
 * Who may start a request. The rule: a request that must not be repeated is
 * started only by the host and incarnation that its id is bound to, and by
 * that only once. docs/design/at_most_once.md lists the ways weighed.
 */
import type {ParsedRequestId} from './request_id.js';

/** What the deciding host knows. */
export interface OwnerState {
  readonly id: ParsedRequestId;
  readonly repeatable: boolean;
  /** Whether the caller goes on with an answer it has begun to get. */
  readonly resuming: boolean;
  /** Whether the caller showed valid resume data. */
  readonly hasResumeData: boolean;
  readonly self: {readonly hostId: string; readonly incarnation: string};
  /** What this host did with the id; absent when it never saw it. */
  readonly ledger: 'ended' | 'running' | undefined;
  /** The incarnation under which the owner is known to be live, if any. */
  readonly liveOwnerIncarnation: string | undefined;
  readonly nowSeconds: number;
  /** How long after minting an id may start, in seconds. */
  readonly startWithinSeconds: number;
}

/** What to do with the request. */
export type OwnerDecision =
  /** Attach to or go on with what runs here. */
  | 'join'
  /** Take over from another host with the caller's resume data. */
  | 'take_over'
  | 'start'
  /** Send the caller to the owner. */
  | 'redirect'
  | 'refuse_expired'
  | 'refuse_forged'
  | 'refuse_unbound'
  | 'refuse_unknown';

/** Decides whether this host may start or take over a request. */
export function decideOwner(state: OwnerState): OwnerDecision {
  const {id} = state;
  if (id.origin === 'forged') return 'refuse_forged';
  if (state.ledger !== undefined) return 'join';
  if (state.hasResumeData) return 'take_over';
  if (id.origin === 'caller') return decideUnbound(state);
  const owner = id.minted;
  if (owner.hostId === state.self.hostId) {
    if (owner.incarnation === state.self.incarnation) return decideOwn(state);
    return state.repeatable ? 'start' : 'refuse_unknown';
  }
  if (state.liveOwnerIncarnation === owner.incarnation) return 'redirect';
  return state.repeatable ? 'start' : 'refuse_unknown';
}

function decideUnbound(state: OwnerState): OwnerDecision {
  return state.repeatable ? 'start' : 'refuse_unbound';
}

function decideOwn(state: OwnerState): OwnerDecision {
  const {id} = state;
  if (id.origin !== 'minted' || state.repeatable) return 'start';
  // Its ledger entry may be forgotten by now, so it may have run.
  const age = state.nowSeconds - id.minted.mintedAt;
  if (age > state.startWithinSeconds) return 'refuse_expired';
  return state.resuming ? 'refuse_unknown' : 'start';
}
