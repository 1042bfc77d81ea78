/** Hash functions for placement: fast, uniform and equal on all hosts. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Computes a hash of a text, an integer below 2^32. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** Computes a 64-bit hash of a text, in hexadecimal. */
export function hashToHex(text: string): string {
  return hasher.h64ToString(text);
}
