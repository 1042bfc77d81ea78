/**
 * Rows of the table of origins. A row has the origins of many streams that one
 * host began within a short time, so that writes don't grow with the streams. A
 * key is never used again, so a write that takes effect late adds nothing that
 * is untrue. Rows in another format are ignored.
 */
import type {OriginRecord} from '@irisdock/decisions';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {decodeJson} from './json_value.js';

/** The origin of a stream as the store has it. */
export interface SavedOrigin extends Omit<OriginRecord, 'remainingMs'> {
  /**
   * When it is no longer needed, in s since 1970 by its host's clock, to the
   * millisecond: a caller that names no attempt is told by its deadline.
   */
  readonly until: number;
}

/** The streams of a row. */
export interface SavedRow {
  readonly origins: readonly SavedOrigin[];
  /**
   * How long its streams may be needed after it was written, in ms; undefined
   * in rows of hosts of earlier versions.
   */
  readonly lifeMs: number | undefined;
}

/**
 * The longest time that streams of a row may be needed after it was written, in
 * ms: origins are kept for 10 minutes, and a row is filled for a few seconds.
 */
export const MAX_ROW_LIFE_MS = 660_000;

const ENGINE_SCHEMA = z.tuple([z.string(), z.string(), z.string()]);
const STREAM_SCHEMA = z.tuple([
  z.int().min(0),
  z.string(),
  z.string(),
  z.number(),
]);
const ROW_SCHEMA = z.object({
  /** The service, instance and software version of each engine. */
  engines: z.array(ENGINE_SCHEMA),
  /** The index of the engine, the stream, its content, and until when. */
  streams: z.array(STREAM_SCHEMA),
  lifeMs: z.number().min(0).optional(),
});
type OriginRow = z.infer<typeof ROW_SCHEMA>;

/** Formats the key of a row of a host. */
export function formatOriginKey(
  host: string,
  incarnation: number,
  segment: number,
): string {
  return `${host}/${incarnation}/${segment}`;
}

/** Formats the value of a row. */
export function formatOriginRow({origins, lifeMs}: SavedRow): string {
  const row: OriginRow = {engines: [], streams: [], lifeMs};
  const indexes = new Map<string, number>();
  for (const {service, instanceId, version, ...stream} of origins) {
    const engine = JSON.stringify([service, instanceId, version]);
    const index = indexes.get(engine) ?? row.engines.length;
    if (!indexes.has(engine)) row.engines.push([service, instanceId, version]);
    indexes.set(engine, index);
    const {streamId, content, until} = stream;
    row.streams.push([index, streamId, content, until]);
  }
  return JSON.stringify(row);
}

/** Parses the value of a row; an error says what is wrong with it. */
export function parseOriginRow(value: string): Result<SavedRow, string> {
  return decodeJson(ROW_SCHEMA, value).map(({engines, streams, lifeMs}) => {
    const origins: SavedOrigin[] = [];
    for (const [index, streamId, content, until] of streams) {
      const [service, instanceId, version] = engines[index] ?? [];
      if (service === undefined) continue;
      if (instanceId === undefined || version === undefined) continue;
      origins.push({streamId, content, service, instanceId, version, until});
    }
    return {origins, lifeMs};
  });
}
