/**
 * How much of a prompt an engine keeps from earlier runs. A part counts only
 * when every part before it is kept whole, as it was read after them.
 */

/** A part of a prompt. */
export interface PromptPartView {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Gives the tokens of a prompt that need not be read again.
 *
 * @param kept Tokens that the engine keeps of each part, by the part's id.
 */
export function computeCachedTokens(
  prompt: readonly PromptPartView[],
  kept: ReadonlyMap<string, number>,
): number {
  let tokens = 0;
  for (const part of prompt) {
    const of = Math.min(kept.get(part.id) ?? 0, part.tokens);
    tokens += of;
    if (of < part.tokens) break;
  }
  return tokens;
}
