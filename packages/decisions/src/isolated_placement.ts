/**
 * Chooses the engine for a stream that is suspected of crashing engines
 * (`crash_ledger.ts`). It is an idle one if many are, else one with few
 * streams, so that no or few others are lost with it. It is chosen by a hash of
 * the stream's content, so that two suspected streams rarely share an engine:
 * if all chose the engine of least cost, streams that were lost together would
 * run together again, and the sound ones could not be distinguished from the
 * one that crashed the engine. For the same reason an engine whose slots are
 * all claimed, as the main suspects claim them, is only used if all are. For the
 * same reason engines of other regions are only left out where the own region
 * has enough to choose from.
 */
import type {EngineRequest, EngineView} from './engine_placement.js';
import {sortByRendezvousHash} from './rendezvous_hash.js';

/** The share of the engines, those with the fewest streams, to choose from. */
const CANDIDATE_SHARE = 0.25;
/** The minimum number of them; two streams rarely choose the same of five. */
const MIN_CANDIDATES = 5;

/**
 * The share of them that must be idle for the others to be left out. Suspected
 * streams that all chose a few idle engines would meet there.
 */
const MIN_IDLE_SHARE = 0.4;

/**
 * Chooses an engine; undefined if all are excluded.
 *
 * @param content The key of the stream's content.
 */
export function chooseIsolatedEngine<V extends EngineView>(
  engines: Iterable<V>,
  request: EngineRequest,
  content: string,
): V | undefined {
  const allowed = [...engines].filter(
    (engine) => !request.excluded.has(engine.instanceId),
  );
  const sound = choosePreferred(
    allowed,
    ({failureScore}) => failureScore === 0,
  );
  const free = choosePreferred(sound, ({streams, slots}) => streams < slots);
  const near = request.position?.splitByRegion(free).near ?? free;
  const candidates = near.length < MIN_CANDIDATES ? free : near;
  const sorted = candidates
    .map((engine) => ({engine, streams: engine.streams}))
    .sort((a, b) => a.streams - b.streams);
  const count = Math.max(
    MIN_CANDIDATES,
    Math.ceil(sorted.length * CANDIDATE_SHARE),
  );
  const leastLoaded = sorted.slice(0, count);
  const idle = leastLoaded.filter(({streams}) => streams === 0);
  const isIdleEnough = idle.length >= leastLoaded.length * MIN_IDLE_SHARE;
  const chosen = isIdleEnough ? idle : leastLoaded;
  return sortByRendezvousHash(
    chosen.map(({engine}) => engine),
    content,
  )[0];
}

/** Returns the engines with a property, or all if none has it. */
function choosePreferred<V>(
  engines: readonly V[],
  hasProperty: (engine: V) => boolean,
): readonly V[] {
  const preferred = engines.filter(hasProperty);
  return preferred.length === 0 ? engines : preferred;
}
