/**
 * Checks whether the record of an answer on this host continues what its caller
 * has received. The caller may meanwhile have received tokens of another engine
 * through other hosts, so the offset alone doesn't identify the text before it.
 * Each record has a unique name that its resume data carries, so the newest
 * resume data names the record whose tokens the caller received last. See
 * docs/design/resumption.md.
 */

/** What the caller sent and what the host recorded. */
export interface FitState {
  /** The offset of the first token that the caller still wants. */
  readonly fromOffset: number;
  /** The record name in the caller's resume data; undefined without any. */
  readonly callerRecord: string | undefined;
  /** The text that the caller received, if the caller sent it. */
  readonly receivedText: string | undefined;
  /** The name of this host's record. */
  readonly ownRecord: string;
  /** The text before `fromOffset` in this host's record, if it is known. */
  readonly ownText: string | undefined;
}

/** Tells whether the recorded tokens continue what the caller has. */
export function isRecordFit(state: FitState): boolean {
  const {callerRecord, receivedText, ownText} = state;
  if (state.fromOffset === 0) return true;
  if (callerRecord !== undefined) return callerRecord === state.ownRecord;
  // Without resume data, another host can have continued the answer only if
  // the caller sent the received text.
  if (receivedText === undefined || ownText === undefined) return true;
  return receivedText === ownText;
}
