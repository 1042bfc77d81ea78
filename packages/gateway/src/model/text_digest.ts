/** Digests that stand for texts in keys of rows. */
import {createHash} from 'node:crypto';

/** Hashes a text to 64 hexadecimal digits (SHA-256). */
export function hashToHex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
