/**
 * The blocks into which the engines cut a prompt for their prefix cache: 64
 * characters each, named by a hash over the block and the ones before it.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const BLOCK_CHARS = 64;

/** Lists the blocks of a prompt. */
export function listPromptBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let name = '';
  for (let at = 0; at + BLOCK_CHARS <= prompt.length; at += BLOCK_CHARS) {
    name = hasher.h64ToString(name + prompt.slice(at, at + BLOCK_CHARS));
    blocks.push(name);
  }
  return blocks;
}
