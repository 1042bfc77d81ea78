/**
 * Assembles one streamed answer from the tokens of successive engines: passes
 * on exactly the next token of the current generation (attempt to run the
 * request) and drops everything else. This keeps answers complete and without
 * duplicates whatever engines and connections do. See docs/design/streams.md.
 */

/** A token received from an engine. */
export interface Token {
  /** The id of the request. */
  readonly request: string;
  /** The number of the attempt; see `generation_number.ts`. */
  readonly generation: number;
  /** The index of the token in the whole answer, from 0. */
  readonly offset: number;
  readonly text: string;
}

/** The end of a generation, received from an engine. */
export interface GenerationEnd {
  /** The id of the request. */
  readonly request: string;
  /** The number of the attempt. */
  readonly generation: number;
  /** The number of tokens of the whole answer. */
  readonly count: number;
  /** Why the engine stopped. */
  readonly reason: string;
}

/** Why a token or an end was dropped; `crossed` is of another request. */
export type TokenDropReason = 'after_end' | 'crossed' | 'repeated' | 'stale';

/** How to handle a token or an end. */
export type AssemblyDecision =
  | {readonly action: 'drop'; readonly reason: TokenDropReason}
  | {readonly action: 'end'; readonly reason: string}
  | {readonly action: 'lost'; readonly reason: 'gap'}
  | {readonly action: 'pass'; readonly offset: number; readonly text: string};

const GAP: AssemblyDecision = {action: 'lost', reason: 'gap'};

/** Assembles one answer. */
export class AnswerAssembler {
  private ended = false;

  /** @param next The offset of the first token to pass on. */
  constructor(
    private readonly request: string,
    private generation: number,
    private next: number,
  ) {}

  /** The offset of the next token to pass on. */
  get nextOffset(): number {
    return this.next;
  }

  /** Whether the end of the answer was received after all its tokens. */
  get isComplete(): boolean {
    return this.ended;
  }

  /** Accepts only tokens of this generation from now on. */
  setGeneration(generation: number): void {
    this.generation = generation;
  }

  /** Decides how to handle a token; a missing token before it is a loss. */
  acceptToken(token: Token): AssemblyDecision {
    const dropReason = this.findDropReason(token);
    if (dropReason !== undefined) return {action: 'drop', reason: dropReason};
    if (token.offset < this.next) return {action: 'drop', reason: 'repeated'};
    if (token.offset > this.next) return GAP;
    this.next++;
    return {action: 'pass', offset: token.offset, text: token.text};
  }

  /** Decides how to handle an end; an end before the last token is a loss. */
  acceptEnd(end: GenerationEnd): AssemblyDecision {
    const dropReason = this.findDropReason(end);
    if (dropReason !== undefined) return {action: 'drop', reason: dropReason};
    if (end.count !== this.next) return GAP;
    this.ended = true;
    return {action: 'end', reason: end.reason};
  }

  /** Finds the reason to drop a token or an end, if any. */
  private findDropReason(item: {
    readonly request: string;
    readonly generation: number;
  }): TokenDropReason | undefined {
    if (item.request !== this.request) return 'crossed';
    if (item.generation !== this.generation) return 'stale';
    return this.ended ? 'after_end' : undefined;
  }
}
