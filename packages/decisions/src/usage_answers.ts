/**
 * Which incarnations answered a request for all counts. An answer may be split
 * over several datagrams, and is complete once all parts of the same answer
 * have arrived. Parts of two answers do not make up one: their counts are
 * cumulative, but the second answer may be split at other places, because it has
 * other windows or a further team in its first one. A count could then be in
 * neither of the parts that arrived.
 */

/** Which part of an answer a report is. */
export interface AnswerPart {
  /** The number of the answer, unique for its incarnation. */
  readonly answer: number;
  /** The index of this part, from 0. */
  readonly index: number;
  /** The number of parts of the answer, at least 1. */
  readonly count: number;
}

/** An answer of one part. */
export const WHOLE_ANSWER: AnswerPart = {answer: 0, index: 0, count: 1};

/** Collects the parts of answers. */
export class UsageAnswers {
  private readonly completeIds = new Set<string>();
  /** The indexes of the parts by answer, for each incarnation. */
  private readonly parts = new Map<string, Map<number, Set<number>>>();

  /** Whether all parts of one answer of an incarnation arrived. */
  has(id: string): boolean {
    return this.completeIds.has(id);
  }

  /** Takes parts in any order and any number of times. */
  accept(id: string, {answer, index, count}: AnswerPart): void {
    if (this.completeIds.has(id)) return;
    let answers = this.parts.get(id);
    if (answers === undefined) {
      answers = new Map();
      this.parts.set(id, answers);
    }
    const indexes = answers.get(answer) ?? new Set();
    answers.set(answer, indexes.add(index));
    if (indexes.size < count) return;
    this.completeIds.add(id);
    this.parts.delete(id);
  }

  /** Forgets an incarnation. */
  drop(id: string): void {
    this.completeIds.delete(id);
    this.parts.delete(id);
  }

  /** Forgets all incarnations. */
  dropAll(): void {
    this.completeIds.clear();
    this.parts.clear();
  }
}
