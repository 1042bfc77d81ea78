/**
 * Datagrams about the rate limits that endpoints announce: reports of limits,
 * and requests and grants of permits to send under a limit. Times are sent as
 * ages, as the clocks of hosts differ.
 */
import type {SendCounts} from '@irisdock/decisions';
import {TupleError, type TupleReader} from './tuple_reader.js';

/** An endpoint's rate limit as a host knows it. */
export interface ReportedLimit {
  readonly instanceId: string;
  /** Requests per second from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** How long ago the endpoint announced it, in ms. */
  readonly ageMs: number;
}

/** Reports limits that were announced, changed or removed. */
export interface LimitsDatagram {
  readonly kind: 'limits';
  readonly name: string;
  readonly limits: readonly ReportedLimit[];
}

/** Requests permits for waiting sends. */
export interface PermitRequestDatagram {
  readonly kind: 'permit-ask';
  readonly name: string;
  readonly incarnation: number;
  /** Identifies the request in its response; the same when it is sent again. */
  readonly number: number;
  readonly wanted: SendCounts;
  /** Callers that were refused and asked to retry since the last request. */
  readonly refused: number;
  readonly limit: ReportedLimit;
}

/** Grants permits. */
export interface PermitResponseDatagram {
  readonly kind: 'permit-answer';
  readonly number: number;
  /** Whether the responding host issues the permits for the endpoint. */
  readonly isIssuer: boolean;
  readonly granted: SendCounts;
  /** The time until the next permit for a usual send, in ms. */
  readonly waitMs: number;
  /** The time until a host that was granted none may request again, in ms. */
  readonly pauseMs: number;
  /** The time until the last refused caller is due to retry, in ms. */
  readonly lastReturnMs: number;
  readonly limit: ReportedLimit;
}

/** Reads the fields of a report of limits, without the kind. */
export function readLimits(fields: TupleReader): LimitsDatagram {
  return {
    kind: 'limits',
    name: fields.readString(),
    limits: fields.readList(readLimit),
  };
}

/** Encodes a report of limits as a tuple, without the kind. */
export function encodeLimits({name, limits}: LimitsDatagram): unknown[] {
  return [name, limits.map(encodeLimit)];
}

/** Reads the fields of a request for permits, without the kind. */
export function readPermitRequest(fields: TupleReader): PermitRequestDatagram {
  return {
    kind: 'permit-ask',
    name: fields.readString(),
    incarnation: fields.readNumber(),
    number: fields.readNumber(),
    wanted: fields.readTuple(readCounts),
    refused: readCount(fields),
    limit: fields.readTuple(readLimit),
  };
}

/** Encodes a request for permits as a tuple, without the kind. */
export function encodePermitRequest(request: PermitRequestDatagram): unknown[] {
  const {name, incarnation, number, wanted, refused, limit} = request;
  const counts = encodeCounts(wanted);
  return [name, incarnation, number, counts, refused, encodeLimit(limit)];
}

/** Reads the fields of a response with permits, without the kind. */
export function readPermitResponse(
  fields: TupleReader,
): PermitResponseDatagram {
  return {
    kind: 'permit-answer',
    number: fields.readNumber(),
    isIssuer: fields.readBoolean(),
    granted: fields.readTuple(readCounts),
    waitMs: fields.readNumber(),
    pauseMs: fields.readNumber(),
    lastReturnMs: fields.readNumber(),
    limit: fields.readTuple(readLimit),
  };
}

/** Encodes a response with permits as a tuple, without the kind. */
export function encodePermitResponse(
  response: PermitResponseDatagram,
): unknown[] {
  const {number, isIssuer, granted, waitMs, limit} = response;
  return [
    number,
    isIssuer,
    encodeCounts(granted),
    Math.ceil(waitMs),
    Math.ceil(response.pauseMs),
    Math.ceil(response.lastReturnMs),
    encodeLimit(limit),
  ];
}

function readLimit(fields: TupleReader): ReportedLimit {
  const instanceId = fields.readString();
  const perSecond = fields.readOptionalNumber();
  const ageMs = fields.readNumber();
  // A rate or an age of NaN or Infinity would admit all sends, or none ever
  // again.
  const isValid = Number.isFinite(perSecond ?? 0) && Number.isFinite(ageMs);
  if (!isValid) throw new TupleError('a limit or its age is not finite');
  return {instanceId, perSecond, ageMs: Math.max(0, ageMs)};
}

function encodeLimit({instanceId, perSecond, ageMs}: ReportedLimit): unknown[] {
  return [instanceId, perSecond, Math.round(ageMs)];
}

function readCounts(fields: TupleReader): SendCounts {
  return {
    begun: readCount(fields),
    usual: readCount(fields),
    aside: readCount(fields),
  };
}

function encodeCounts({begun, usual, aside}: SendCounts): number[] {
  return [begun, usual, aside];
}

/** Reads a count: rounds down, and reads negative numbers and NaN as 0. */
function readCount(fields: TupleReader): number {
  const value = Math.floor(fields.readNumber());
  return value > 0 ? value : 0;
}
