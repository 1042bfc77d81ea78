/**
 * Reference implementation of `EventSplitter` for a text that is available as a
 * whole.
 */

/** Splits at empty lines; an incomplete event at the end is left out. */
export function splitEventsNaively(text: string): string[] {
  const parts = text.split('\n\n');
  return parts.slice(0, -1).map((part) => `${part}\n\n`);
}
