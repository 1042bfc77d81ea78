/**
 * The text that the engine stand-in generates. Each token carries its offset,
 * the engine's name and a check over all text before it, so that an answer
 * proves by itself that nothing is missing, repeated or mixed in from a
 * generation that went on from other text.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** The running check over an answer's text. */
export class TextChain {
  private state: string;
  private count = 0;

  constructor(prompt: string) {
    this.state = hasher.h32ToString(prompt);
  }

  /** The number of tokens so far. */
  get length(): number {
    return this.count;
  }

  /** Makes the next token and goes on from it. */
  createToken(engine: string): string {
    const token = `${this.count}.${engine}.${this.state} `;
    this.add(token);
    return token;
  }

  /** Goes on from text that was generated before. */
  addText(text: string): void {
    for (const token of splitTokens(text)) this.add(token);
  }

  /** Tells whether the token is one that may come next. */
  isNext(token: string): boolean {
    const [offset, , check] = token.trimEnd().split('.');
    return offset === String(this.count) && check === this.state;
  }

  /** Goes on from one token. */
  add(token: string): void {
    this.state = hasher.h32ToString(this.state + token);
    this.count++;
  }
}

/** Splits text into the tokens it was made of. */
export function splitTokens(text: string): string[] {
  return text.match(/[^ ]+ /g) ?? [];
}

/** What a check of a whole answer found. */
export interface TextReport {
  readonly tokens: number;
  readonly missing: number;
  readonly repeated: number;
  /** Tokens that do not follow from the text before them. */
  readonly mixed: number;
}

/** Checks an answer of `expected` tokens to a prompt. */
export function checkText(
  prompt: string,
  text: string,
  expected: number,
): TextReport {
  const chain = new TextChain(prompt);
  const seen = new Set<string>();
  let repeated = 0;
  let mixed = 0;
  const tokens = splitTokens(text);
  for (const token of tokens) {
    const offset = token.split('.')[0] ?? '';
    if (seen.has(offset)) repeated++;
    else if (!chain.isNext(token)) mixed++;
    seen.add(offset);
    chain.add(token);
  }
  const missing = Math.max(0, expected - seen.size);
  return {tokens: tokens.length, missing, repeated, mixed};
}
