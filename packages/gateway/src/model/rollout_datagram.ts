/** Encodes and reads the datagrams about rollouts, as tuples. */
import {ROLLOUT_PHASES} from '@irisdock/decisions';
import type {
  RolloutPhaseDatagram,
  RolloutReportDatagram,
} from './peer_message.js';
import type {
  EndpointCount,
  RolloutReport,
  RouteCount,
} from './rollout_order.js';
import type {TupleReader} from './tuple_reader.js';

/** Reads the fields of a report, without the kind. */
export function readRolloutReport(fields: TupleReader): RolloutReportDatagram {
  return {
    kind: 'rollout-report',
    name: fields.readString(),
    incarnation: fields.readNumber(),
    sequence: fields.readNumber(),
    reports: fields.readList(readReport),
  };
}

/** Encodes a report as a tuple, without the kind. */
export function encodeRolloutReport(report: RolloutReportDatagram): unknown[] {
  const {name, incarnation, sequence, reports} = report;
  return [name, incarnation, sequence, reports.map(encodeReport)];
}

/** Reads the fields of a phase, without the kind. */
export function readRolloutPhase(fields: TupleReader): RolloutPhaseDatagram {
  return {
    kind: 'rollout-phase',
    service: fields.readString(),
    revision: fields.readNumber(),
    phase: fields.readEnum(ROLLOUT_PHASES),
  };
}

function readReport(fields: TupleReader): RolloutReport {
  return {
    service: fields.readString(),
    revision: fields.readNumber(),
    phase: fields.readEnum(ROLLOUT_PHASES),
    requests: fields.readNumber(),
    trialSends: fields.readNumber(),
    oldRunning: fields.readNumber(),
    routes: fields.readList(readRouteCount),
  };
}

function encodeReport(report: RolloutReport): unknown[] {
  return [
    report.service,
    report.revision,
    report.phase,
    report.requests,
    report.trialSends,
    report.oldRunning,
    report.routes.map(({route, answers, bad, byEndpoint}) => [
      route,
      answers,
      bad,
      byEndpoint.map((endpoint) => [
        endpoint.instanceId,
        endpoint.answers,
        endpoint.bad,
      ]),
    ]),
  ];
}

function readRouteCount(fields: TupleReader): RouteCount {
  return {
    route: fields.readString(),
    answers: fields.readNumber(),
    bad: fields.readNumber(),
    byEndpoint: fields.readList(readEndpointCount),
  };
}

function readEndpointCount(fields: TupleReader): EndpointCount {
  return {
    instanceId: fields.readString(),
    answers: fields.readNumber(),
    bad: fields.readNumber(),
  };
}
