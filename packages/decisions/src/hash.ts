/** Hashing for placement: fast, even, and the same on every host. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Gives a text's hash as a whole number below 2^32. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** Gives a text's 64-bit hash in hexadecimal. */
export function hashToHex(text: string): string {
  return hasher.h64ToString(text);
}
