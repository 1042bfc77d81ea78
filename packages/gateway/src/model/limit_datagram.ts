/**
 * What hosts tell each other of limits that endpoints name: reports that are newer
 * than what others may know, and permits that are asked for and given. Times are
 * told as ages, as the clocks of hosts differ.
 */
import type {SendCounts} from '@irisdock/decisions';
import {TupleError, type TupleReader} from './tuple_reader.js';

/** What a host believes of an endpoint's limit. */
export interface ReportedLimit {
  readonly instanceId: string;
  /** Requests a second from all hosts together; undefined without a limit. */
  readonly perSecond: number | undefined;
  /** How long ago it was so, in ms. */
  readonly ageMs: number;
}

/** Tells of limits that were named, changed or ended. */
export interface LimitsDatagram {
  readonly kind: 'limits';
  readonly name: string;
  readonly limits: readonly ReportedLimit[];
}

/** Asks for permits for sends that wait. */
export interface PermitRequestDatagram {
  readonly kind: 'permit-ask';
  readonly name: string;
  readonly incarnation: number;
  /** The same when the question is sent again; told in the answer. */
  readonly number: number;
  readonly wanted: SendCounts;
  /** Callers that were told to come back since the question before. */
  readonly refused: number;
  readonly limit: ReportedLimit;
}

/** Gives permits. */
export interface PermitResponseDatagram {
  readonly kind: 'permit-answer';
  readonly number: number;
  /** Whether the asked host hands out permits for the endpoint. */
  readonly isIssuer: boolean;
  readonly granted: SendCounts;
  /** Until the next permit for a usual send, in ms. */
  readonly waitMs: number;
  /** For how long a host that got none asks for none, in ms. */
  readonly pauseMs: number;
  /** Until the last caller is back that was told to come back, in ms. */
  readonly lastReturnMs: number;
  readonly limit: ReportedLimit;
}

/** Reads limits, without their kind. */
export function readLimits(fields: TupleReader): LimitsDatagram {
  return {
    kind: 'limits',
    name: fields.readString(),
    limits: fields.readList(readLimit),
  };
}

/** Gives the tuple of limits, without their kind. */
export function encodeLimits({name, limits}: LimitsDatagram): unknown[] {
  return [name, limits.map(listLimit)];
}

/** Reads a question, without its kind. */
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

/** Gives the tuple of a question, without its kind. */
export function encodePermitRequest(ask: PermitRequestDatagram): unknown[] {
  const {name, incarnation, number, wanted, refused, limit} = ask;
  const counts = listCounts(wanted);
  return [name, incarnation, number, counts, refused, listLimit(limit)];
}

/** Reads an answer, without its kind. */
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

/** Gives the tuple of an answer, without its kind. */
export function encodePermitResponse(
  answer: PermitResponseDatagram,
): unknown[] {
  const {number, isIssuer, granted, waitMs, limit} = answer;
  return [
    number,
    isIssuer,
    listCounts(granted),
    Math.ceil(waitMs),
    Math.ceil(answer.pauseMs),
    Math.ceil(answer.lastReturnMs),
    listLimit(limit),
  ];
}

function readLimit(fields: TupleReader): ReportedLimit {
  const instanceId = fields.readString();
  const perSecond = fields.readOptionalNumber();
  const ageMs = fields.readNumber();
  // A rate or an age that is no number would let all through, or nothing for good.
  const isWhole = Number.isFinite(perSecond ?? 0) && Number.isFinite(ageMs);
  if (!isWhole) throw new TupleError('a limit is no number');
  return {instanceId, perSecond, ageMs: Math.max(0, ageMs)};
}

function listLimit({instanceId, perSecond, ageMs}: ReportedLimit): unknown[] {
  return [instanceId, perSecond, Math.round(ageMs)];
}

function readCounts(fields: TupleReader): SendCounts {
  return {
    begun: readCount(fields),
    usual: readCount(fields),
    aside: readCount(fields),
  };
}

function listCounts({begun, usual, aside}: SendCounts): number[] {
  return [begun, usual, aside];
}

/** A whole number that is not negative; what is none counts for nothing. */
function readCount(fields: TupleReader): number {
  const value = Math.floor(fields.readNumber());
  return value > 0 ? value : 0;
}
