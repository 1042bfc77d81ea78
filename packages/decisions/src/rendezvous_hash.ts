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
  const hashed = engines.map((engine) => ({
    engine,
    hash: hashText(`${key}/${engine.instanceId}`),
  }));
  hashed.sort((a, b) => a.hash - b.hash);
  return hashed.map(({engine}) => engine);
}
