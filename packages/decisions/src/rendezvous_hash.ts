/**
 * The order in which engines are preferred for a prompt: by a hash over both.
 * Every host finds the same order from the names alone, so that a caller that
 * comes again by another host reaches the engine that still keeps its prompt.
 * An engine that comes or goes moves only the prompts that it is first for.
 */
import {hashText} from './hash.js';

/** What is ordered. */
export interface NamedEngine {
  readonly instanceId: string;
}

/** Lists the engines, the most preferred first. */
export function sortByRendezvousHash<E extends NamedEngine>(
  engines: readonly E[],
  key: string,
): E[] {
  const placed = engines.map((engine) => ({
    engine,
    place: hashText(`${key}/${engine.instanceId}`),
  }));
  placed.sort((a, b) => a.place - b.place);
  return placed.map(({engine}) => engine);
}
