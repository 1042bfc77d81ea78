/** Whole events of a text that is there at once. */

/** Splits at empty lines; what follows the last one is left out. */
export function splitEventsNaively(text: string): string[] {
  const parts = text.split('\n\n');
  return parts.slice(0, -1).map((part) => `${part}\n\n`);
}
