/**
 * The assembler of one answer: passes on exactly the next token of the
 * present generation and drops everything else. It is what keeps an answer
 * whole whatever engines and links do: docs/design/streams.md.
 */

/** A token as an engine sends it. */
export interface Token {
  readonly request: string;
  readonly generation: number;
  /** The token's place in the whole answer, from 0. */
  readonly offset: number;
  readonly text: string;
}

/** The end of a generation as an engine sends it. */
export interface GenerationEnd {
  readonly request: string;
  readonly generation: number;
  /** The number of tokens of the whole answer. */
  readonly count: number;
  readonly reason: string;
}

/** Why something was dropped. */
export type TokenDropReason = 'after_end' | 'crossed' | 'repeated' | 'stale';

/** What to do with what came from an engine. */
export type AssemblyDecision =
  | {readonly action: 'drop'; readonly reason: TokenDropReason}
  | {readonly action: 'end'; readonly reason: string}
  | {readonly action: 'lost'; readonly reason: 'gap'}
  | {readonly action: 'pass'; readonly offset: number; readonly text: string};

const GAP: AssemblyDecision = {action: 'lost', reason: 'gap'};

/** Assembles one answer. */
export class AnswerAssembler {
  private ended = false;

  constructor(
    private readonly request: string,
    private generation: number,
    private next: number,
  ) {}

  /** The offset of the token that is passed on next. */
  get nextOffset(): number {
    return this.next;
  }

  /** Whether the answer is whole. */
  get isComplete(): boolean {
    return this.ended;
  }

  /** Takes only this generation's tokens from now on. */
  setGeneration(generation: number): void {
    this.generation = generation;
  }

  /** Decides on a token. */
  acceptToken(token: Token): AssemblyDecision {
    const drop = this.findDrop(token);
    if (drop !== undefined) return {action: 'drop', reason: drop};
    if (token.offset < this.next) return {action: 'drop', reason: 'repeated'};
    if (token.offset > this.next) return GAP;
    this.next++;
    return {action: 'pass', offset: token.offset, text: token.text};
  }

  /** Decides on an end; an end before the last token is a loss. */
  acceptEnd(end: GenerationEnd): AssemblyDecision {
    const drop = this.findDrop(end);
    if (drop !== undefined) return {action: 'drop', reason: drop};
    if (end.count !== this.next) return GAP;
    this.ended = true;
    return {action: 'end', reason: end.reason};
  }

  private findDrop(item: {
    readonly request: string;
    readonly generation: number;
  }): TokenDropReason | undefined {
    if (item.request !== this.request) return 'crossed';
    if (item.generation !== this.generation) return 'stale';
    return this.ended ? 'after_end' : undefined;
  }
}
