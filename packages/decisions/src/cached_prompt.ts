/**
 * Computes how many tokens of a prompt an engine has cached from earlier runs.
 * Cached state depends on all tokens before it, so a part counts only when
 * every part before it is cached whole.
 */

/** A part of a prompt, by id and length. */
export interface PromptPartView {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Returns the number of leading tokens that need no prefill.
 *
 * @param cached Cached tokens of each part, by the part's id.
 */
export function computeCachedTokens(
  prompt: readonly PromptPartView[],
  cached: ReadonlyMap<string, number>,
): number {
  let tokens = 0;
  for (const part of prompt) {
    const cachedTokens = Math.min(cached.get(part.id) ?? 0, part.tokens);
    tokens += cachedTokens;
    if (cachedTokens < part.tokens) break;
  }
  return tokens;
}
