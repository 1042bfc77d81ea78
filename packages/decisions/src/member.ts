/** Membership records that hosts gossip, and how two of them are ordered. */

/** The state of a host as other hosts see it. */
export type MemberState = 'dead' | 'leaving' | 'live' | 'suspect';

/** A record of one host, passed on from host to host. */
export interface MemberNote {
  readonly hostId: string;
  /** Compared as text; a restarted host has a higher one. */
  readonly incarnation: string;
  /** Grows with each record that the host publishes about itself. */
  readonly sequence: number;
  readonly state: MemberState;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly revision: number;
}

// At the same sequence number, the worse state wins. A host that is wrongly
// suspected refutes that with a higher sequence number.
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Tells whether a record supersedes the known one. */
export function isNewerNote(note: MemberNote, known: MemberNote): boolean {
  if (note.incarnation !== known.incarnation) {
    return note.incarnation > known.incarnation;
  }
  if (note.sequence !== known.sequence) return note.sequence > known.sequence;
  return STATE_RANK[note.state] > STATE_RANK[known.state];
}
