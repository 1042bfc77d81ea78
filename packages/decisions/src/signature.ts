/**
 * Signatures of texts that callers send back and must not modify, such as
 * request ids. All hosts of a deployment share the key.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** The length of a signature: 22 characters of base64url carry 132 bits. */
const MAC_CHARS = 22;

/** Signs and verifies texts with one key. */
export class Signer {
  constructor(private readonly key: string) {}

  /** Returns the signature of a text, in characters allowed in headers. */
  sign(text: string): string {
    const mac = createHmac('sha256', this.key).update(text).digest('base64url');
    return mac.slice(0, MAC_CHARS);
  }

  /** Verifies the signature of a text in constant time. */
  hasValidSignature(text: string, signature: string): boolean {
    const wanted = Buffer.from(this.sign(text));
    const given = Buffer.from(signature);
    return wanted.length === given.length && timingSafeEqual(wanted, given);
  }
}
