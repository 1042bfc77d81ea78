/** Datagrams by which hosts report and look up the origins of streams. */
import type {OriginKey, OriginRecord} from '@irisdock/decisions';
import {TupleError, type TupleReader} from './tuple_reader.js';

/** Reports origins to hosts that keep them. */
export interface OriginsDatagram {
  readonly kind: 'origins';
  readonly origins: readonly OriginRecord[];
}

/** Asks a host for the origin of a stream. */
export interface OriginRequestDatagram extends OriginKey {
  readonly kind: 'origin-ask';
  /** The host that asks. */
  readonly name: string;
  /** Identifies the request in its response; the same when it is sent again. */
  readonly number: number;
}

/** The origins that a host keeps for a stream, or for its content. */
export interface OriginResponseDatagram {
  readonly kind: 'origin-answer';
  readonly number: number;
  readonly origins: readonly OriginRecord[];
}

/** A datagram about origins. */
export type OriginDatagram =
  OriginRequestDatagram | OriginResponseDatagram | OriginsDatagram;

/** Reads the fields of a report, without the kind. */
export function readOrigins(fields: TupleReader): OriginsDatagram {
  return {kind: 'origins', origins: fields.readList(readOrigin)};
}

/** Encodes a report as a tuple, without the kind. */
export function encodeOrigins({origins}: OriginsDatagram): unknown[] {
  return [origins.map(encodeOrigin)];
}

/** Reads the fields of a request, without the kind. */
export function readOriginRequest(fields: TupleReader): OriginRequestDatagram {
  return {
    kind: 'origin-ask',
    name: fields.readString(),
    number: fields.readNumber(),
    streamId: fields.readOptionalString(),
    content: fields.readString(),
    remainingMs: fields.readOptionalNumber(),
  };
}

/** Encodes a request as a tuple, without the kind. */
export function encodeOriginRequest(request: OriginRequestDatagram): unknown[] {
  const {name, number, streamId, content, remainingMs} = request;
  return [name, number, streamId, content, remainingMs];
}

/** Reads the fields of a response, without the kind. */
export function readOriginResponse(
  fields: TupleReader,
): OriginResponseDatagram {
  return {
    kind: 'origin-answer',
    number: fields.readNumber(),
    origins: fields.readList(readOrigin),
  };
}

/** Encodes a response as a tuple, without the kind. */
export function encodeOriginResponse(
  response: OriginResponseDatagram,
): unknown[] {
  return [response.number, response.origins.map(encodeOrigin)];
}

function readOrigin(fields: TupleReader): OriginRecord {
  const origin = {
    streamId: fields.readString(),
    content: fields.readString(),
    service: fields.readString(),
    instanceId: fields.readString(),
    version: fields.readString(),
    remainingMs: fields.readNumber(),
  };
  if (!Number.isFinite(origin.remainingMs)) {
    throw new TupleError('the remaining time of an origin is not finite');
  }
  return origin;
}

function encodeOrigin(origin: OriginRecord): unknown[] {
  const {streamId, content, service, instanceId, version} = origin;
  const remainingMs = Math.ceil(origin.remainingMs);
  return [streamId, content, service, instanceId, version, remainingMs];
}
