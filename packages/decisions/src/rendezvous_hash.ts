/**
 * Rendezvous hashing: sorts engines by preference for a prompt, by a hash over
 * both. All hosts derive the same order from the names alone, so a caller that
 * returns through another host reaches the engine that still has its prompt
 * cached. When an engine comes or goes, only the prompts move that prefer it.
 */
import {hashText} from './hash.js';

/** An engine to sort. */
export interface NamedEngine {
  readonly instanceId: string;
}

/** Returns the engines, the most preferred first. */
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
