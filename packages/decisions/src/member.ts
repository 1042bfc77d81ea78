/** What a host knows of another, and which of two notes is the newer. */

/** What a host is to others. */
export type MemberState = 'dead' | 'leaving' | 'live' | 'suspect';

/** A note on a host, passed from host to host. */
export interface MemberNote {
  readonly hostId: string;
  /** Ordered by its text; a restart gives a higher one. */
  readonly incarnation: string;
  /** Grows with each note that the host gives of itself. */
  readonly sequence: number;
  readonly state: MemberState;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly revision: number;
}

// At the same sequence, a worse word of a host goes before a better one; the
// host itself answers with a higher sequence.
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Tells whether a note is news against what is known. */
export function isNewerNote(note: MemberNote, known: MemberNote): boolean {
  if (note.incarnation !== known.incarnation) {
    return note.incarnation > known.incarnation;
  }
  if (note.sequence !== known.sequence) return note.sequence > known.sequence;
  return STATE_RANK[note.state] > STATE_RANK[known.state];
}
