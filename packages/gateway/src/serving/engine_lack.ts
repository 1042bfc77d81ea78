/** Why a begun stream has no engine at its software version. */
import type {EndpointRecord} from './endpoint_record.js';
import {isOfOrigin, type StreamOrigin} from './version_binding.js';

/** Why no engine of a version may run a stream, as a metric's label. */
export type EngineLack =
  /** All engines of the version are leaving. */
  | 'draining'
  /** No engine of the version is known. */
  | 'no_engine'
  /** Engines of the version are known, but paused, lost or in a rollout. */
  | 'unavailable';

/** Decides why none of the known engines may continue a stream. */
export function decideEngineLack(
  engines: Iterable<EndpointRecord>,
  origin: StreamOrigin,
): EngineLack {
  let isKnown = false;
  let isAnyStaying = false;
  for (const engine of engines) {
    if (!isOfOrigin(engine, origin)) continue;
    isKnown = true;
    if (engine.entry.state !== 'leaving') isAnyStaying = true;
  }
  if (!isKnown) return 'no_engine';
  return isAnyStaying ? 'unavailable' : 'draining';
}
