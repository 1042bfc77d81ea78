/**
 * Signed texts: what callers carry for the system and must not change. The
 * key is the same on all hosts of a deployment.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';

const MAC_CHARS = 22;

/** Signs and verifies texts with one key. */
export class Signer {
  constructor(private readonly key: string) {}

  /** Gives the text's signature, in letters that a header may carry. */
  sign(text: string): string {
    const mac = createHmac('sha256', this.key).update(text).digest('base64url');
    return mac.slice(0, MAC_CHARS);
  }

  /** Tells whether the signature is this text's. */
  hasValidSignature(text: string, signature: string): boolean {
    const wanted = Buffer.from(this.sign(text));
    const given = Buffer.from(signature);
    return wanted.length === given.length && timingSafeEqual(wanted, given);
  }
}
