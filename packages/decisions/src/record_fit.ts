/**
 * Whether what a host keeps of an answer goes on from what its caller has.
 * A caller may have been on other hosts meanwhile, and got tokens there that
 * another engine made; the same offset then says nothing of the text before
 * it. Every record has a name of its own, which its resume data carries, so
 * the newest resume data names the record whose tokens the caller got last.
 * docs/design/resumption.md.
 */

/** What the caller shows and what the host keeps. */
export interface FitState {
  /** The offset of the first token that the caller still wants. */
  readonly fromOffset: number;
  /** The record that the caller's resume data names, when it has any. */
  readonly callerRecord: string | undefined;
  /** The text that the caller got, when it sent it. */
  readonly receivedText: string | undefined;
  /** The name of the record kept here. */
  readonly ownRecord: string;
  /** The text before `fromOffset` as kept here, when it is known. */
  readonly ownText: string | undefined;
}

/** Tells whether the kept tokens may follow what the caller has. */
export function isRecordFit(state: FitState): boolean {
  const {callerRecord, receivedText, ownText} = state;
  if (state.fromOffset === 0) return true;
  if (callerRecord !== undefined) return callerRecord === state.ownRecord;
  // Without resume data no other host could have gone on with it, but for a
  // caller that sent its text.
  if (receivedText === undefined || ownText === undefined) return true;
  return receivedText === ownText;
}
