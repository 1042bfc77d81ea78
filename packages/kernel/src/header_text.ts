/**
 * Texts as values of header lines. A value is a sequence of bytes (RFC 9110,
 * section 5.5), which Node gives and takes as a string with a character for
 * each byte. Texts travel in UTF-8, as they do in bodies.
 */

/**
 * Control characters of ASCII, blanks at either end, which recipients drop, and
 * halves of surrogate pairs, which UTF-8 cannot encode.
 */
const NOT_IN_VALUE = /(?![\t\u0080-\u009f])\p{Cc}|^[\t ]|[\t ]$|\p{Surrogate}/u;
const ASCII = /^\p{ASCII}*$/u;
const DECODER = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/** Whether a header line can carry a text so that it arrives unchanged. */
export function isHeaderText(text: string): boolean {
  return !NOT_IN_VALUE.test(text);
}

/** Encodes a text as the value of a header line. */
export function encodeHeaderText(text: string): string {
  if (ASCII.test(text)) return text;
  return Buffer.from(text, 'utf8').toString('latin1');
}

/**
 * Decodes the value of a header line. One that is not UTF-8 is left as it is:
 * some clients encode their headers in Latin-1.
 */
export function decodeHeaderText(value: string): string {
  if (ASCII.test(value)) return value;
  try {
    return DECODER.decode(Buffer.from(value, 'latin1'));
  } catch {
    return value;
  }
}
