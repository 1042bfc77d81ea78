/**
 * On which engine a stream runs that may end it: one on which little runs, so
 * that it takes few others with it, and by the stream's own order, so that two
 * such streams do not look for the same engine. Where all took the engine that
 * costs least, streams that were lost together met again on the next engine, and
 * the sound ones among them looked like the one that ended it.
 */
import type {EngineRequest, EngineView} from './engine_placement.js';
import {sortByRendezvousHash} from './rendezvous_hash.js';

/** The part of the engines, those with the fewest streams, that it may take. */
const TAKEN_PART = 0.25;
/** The least number of them; two streams rarely take the same of five. */
const TAKEN_LEAST = 5;

/**
 * Chooses an engine; undefined when all are excluded.
 *
 * @param content Names the content of the stream.
 */
export function chooseIsolatedEngine<V extends EngineView>(
  engines: Iterable<V>,
  request: EngineRequest,
  content: string,
): V | undefined {
  const open = [...engines].filter(
    (engine) => !request.excluded.has(engine.instanceId),
  );
  const sound = open.filter((engine) => engine.failureScore === 0);
  const candidates = sound.length === 0 ? open : sound;
  const sorted = candidates
    .map((engine) => ({engine, streams: engine.streams}))
    .sort((a, b) => a.streams - b.streams);
  const count = Math.max(TAKEN_LEAST, Math.ceil(sorted.length * TAKEN_PART));
  const emptiest = sorted.slice(0, count).map(({engine}) => engine);
  return sortByRendezvousHash(emptiest, content)[0];
}
