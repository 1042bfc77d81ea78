/**
 * Binds one stream to the software version of the engine that sent its first
 * event. What two versions write does not fit together, so every later engine
 * of the stream has the same version.
 */
import type {EndpointRecord} from './endpoint_record.js';

/** The engine that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly instanceId: string;
  /** The version of its software. */
  readonly version: string;
}

/**
 * Gives the software version of an engine for comparison. An engine whose
 * version is only assumed has one of its own.
 */
export function getSoftwareVersion({entry}: EndpointRecord): string {
  const {version, instanceId, isVersionAssumed} = entry;
  return isVersionAssumed === true ? `unknown (${instanceId})` : version;
}

/** Creates the origin of the streams that an engine begins. */
export function createOrigin(engine: EndpointRecord): StreamOrigin {
  const {service, instanceId} = engine.entry;
  return {service, instanceId, version: getSoftwareVersion(engine)};
}

/** Whether an engine may continue a stream with this origin. */
export function isOfOrigin(
  engine: EndpointRecord,
  {service, instanceId, version}: StreamOrigin,
): boolean {
  if (engine.entry.service !== service) return false;
  if (engine.instanceId === instanceId) return true;
  return getSoftwareVersion(engine) === version;
}

/** The binding of one stream; unbound until its first event. */
export class VersionBinding {
  private bound: StreamOrigin | undefined;

  /** The engine that sent the first event; undefined before it. */
  get origin(): StreamOrigin | undefined {
    return this.bound;
  }

  /** Binds the stream unless it is bound; returns its origin. */
  bind(origin: StreamOrigin): StreamOrigin {
    return (this.bound ??= origin);
  }

  /** Whether an engine may run the stream. */
  isOpenTo(engine: EndpointRecord): boolean {
    return this.bound === undefined || isOfOrigin(engine, this.bound);
  }
}
