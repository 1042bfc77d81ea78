/**
 * Decides which host may start a request. A request that must not be repeated
 * is started only by the host and incarnation that its id is bound to, and only
 * once. docs/design/at_most_once.md compares the alternatives.
 */
import type {ParsedRequestId} from './request_id.js';

/** What the deciding host knows of a request. */
export interface OwnerState {
  readonly id: ParsedRequestId;
  readonly repeatable: boolean;
  /** Whether the caller resumes an answer that it has received a part of. */
  readonly resuming: boolean;
  /** Whether the caller sent valid resume data. */
  readonly hasResumeData: boolean;
  readonly self: {readonly hostId: string; readonly incarnation: string};
  /** The request's state in this host's ledger; undefined without an entry. */
  readonly ledger: 'ended' | 'running' | undefined;
  /** The incarnation of the id's owner if it is known to be live. */
  readonly liveOwnerIncarnation: string | undefined;
  readonly nowSeconds: number;
  /** How long after minting its id a request may be started, in seconds. */
  readonly startWithinSeconds: number;
}

/** What to do with the request. */
export type OwnerDecision =
  /** Attach to the run in this host's ledger. */
  | 'join'
  /** Take over from another host by the caller's resume data. */
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
  // Its ledger entry may have been dropped already, so it may have run.
  const age = state.nowSeconds - id.minted.mintedAt;
  if (age > state.startWithinSeconds) return 'refuse_expired';
  return state.resuming ? 'refuse_unknown' : 'start';
}
