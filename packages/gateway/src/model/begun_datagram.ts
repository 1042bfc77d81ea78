/**
 * Datagrams about the requests that endpoints began, by window and team: the
 * counts of one host, and the request of a collector for them.
 */
import type {AnswerPart, WindowCount} from '@irisdock/decisions';
import {TupleError, type TupleReader} from './tuple_reader.js';

/** Cumulative counts of one incarnation of a host. */
export interface BegunReportDatagram {
  readonly kind: 'begun-report';
  readonly name: string;
  readonly incarnation: number;
  /** The sender's time, in ms since 1970. */
  readonly time: number;
  readonly counts: readonly WindowCount[];
  /** Its part in an answer to a request for all counts; absent if none. */
  readonly answerPart?: AnswerPart;
}

/** Asks a host for all its counts of a window and later ones. */
export interface BegunRequestDatagram {
  readonly kind: 'begun-ask';
  /** The host that asks, which collects the counts of all hosts. */
  readonly name: string;
  readonly fromWindow: number;
}

/** A datagram about begun requests. */
export type BegunDatagram = BegunReportDatagram | BegunRequestDatagram;

/** Reads the fields of a report, without the kind. */
export function readBegunReport(fields: TupleReader): BegunReportDatagram {
  const report = {
    kind: 'begun-report',
    name: fields.readString(),
    incarnation: readInteger(fields),
    time: readInteger(fields),
    counts: fields.readList(readCount),
  } as const;
  const answerPart = fields.readOptionalTuple(readAnswerPart);
  return answerPart === undefined ? report : {...report, answerPart};
}

/** Encodes a report as a tuple, without the kind. */
export function encodeBegunReport(report: BegunReportDatagram): unknown[] {
  const {name, incarnation, time, counts, answerPart} = report;
  const encoded = counts.map(({window, team, count}) => [window, team, count]);
  const fields = [name, incarnation, Math.round(time), encoded];
  if (answerPart === undefined) return fields;
  const {answer, index, count} = answerPart;
  return [...fields, [answer, index, count]];
}

/** Reads the fields of a request, without the kind. */
export function readBegunRequest(fields: TupleReader): BegunRequestDatagram {
  return {
    kind: 'begun-ask',
    name: fields.readString(),
    fromWindow: readInteger(fields),
  };
}

/** Encodes a request as a tuple, without the kind. */
export function encodeBegunRequest(request: BegunRequestDatagram): unknown[] {
  return [request.name, request.fromWindow];
}

function readAnswerPart(fields: TupleReader): AnswerPart {
  const answer = readInteger(fields);
  const index = readInteger(fields);
  const count = readInteger(fields);
  if (index < count) return {answer, index, count};
  throw new TupleError('the index of a part is not below the number of parts');
}

function readCount(fields: TupleReader): WindowCount {
  return {
    window: readInteger(fields),
    team: fields.readString(),
    count: readInteger(fields),
  };
}

function readInteger(fields: TupleReader): number {
  const value = fields.readNumber();
  if (Number.isSafeInteger(value) && value >= 0) return value;
  throw new TupleError('a number is not a non-negative integer');
}
