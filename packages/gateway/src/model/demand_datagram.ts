/**
 * Datagrams by which hosts report the load of scaled services to the hosts that
 * may decide on their endpoints.
 */
import type {HostDemand} from '@irisdock/decisions';
import {TupleError, type TupleReader} from './tuple_reader.js';

/** A host's load of one service. */
export interface ReportedDemand extends HostDemand {
  readonly service: string;
}

/** A host's load. */
export interface DemandDatagram {
  readonly kind: 'demand';
  readonly name: string;
  readonly incarnation: number;
  readonly services: readonly ReportedDemand[];
}

/** Reads the fields of a report, without the kind. */
export function readDemand(fields: TupleReader): DemandDatagram {
  return {
    kind: 'demand',
    name: fields.readString(),
    incarnation: fields.readNumber(),
    services: fields.readList(readService),
  };
}

/** Encodes a report as a tuple, without the kind. */
export function encodeDemand(datagram: DemandDatagram): unknown[] {
  const {name, incarnation, services} = datagram;
  return [name, incarnation, services.map(encodeService)];
}

function readService(fields: TupleReader): ReportedDemand {
  return {
    service: fields.readString(),
    inFlight: readAmount(fields),
    expectedTokens: readAmount(fields),
    promptTokens: readAmount(fields),
    idleTokens: readAmount(fields),
    idleMs: readAmount(fields),
  };
}

function encodeService(demand: ReportedDemand): unknown[] {
  return [
    demand.service,
    demand.inFlight,
    Math.round(demand.expectedTokens),
    Math.round(demand.promptTokens),
    Math.round(demand.idleTokens),
    Math.round(demand.idleMs),
  ];
}

function readAmount(fields: TupleReader): number {
  const value = fields.readNumber();
  // One infinite amount would count for all hosts.
  if (Number.isFinite(value) && value >= 0) return value;
  throw new TupleError('an amount of load is negative or not finite');
}
