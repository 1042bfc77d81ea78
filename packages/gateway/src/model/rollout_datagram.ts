/** Writes and reads what hosts tell each other of roll-outs, as tuples. */
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

/** Reads a report, without its kind. */
export function readRolloutReport(fields: TupleReader): RolloutReportDatagram {
  return {
    kind: 'rollout-report',
    name: fields.readString(),
    incarnation: fields.readNumber(),
    sequence: fields.readNumber(),
    reports: fields.readList(readReport),
  };
}

/** Gives the tuple of a report, without its kind. */
export function encodeRolloutReport(report: RolloutReportDatagram): unknown[] {
  const {name, incarnation, sequence, reports} = report;
  return [name, incarnation, sequence, reports.map(listReport)];
}

/** Reads a phase, without its kind. */
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
    routes: fields.readList(readRoute),
  };
}

function listReport(report: RolloutReport): unknown[] {
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
      byEndpoint.map((one) => [one.instanceId, one.answers, one.bad]),
    ]),
  ];
}

function readRoute(fields: TupleReader): RouteCount {
  return {
    route: fields.readString(),
    answers: fields.readNumber(),
    bad: fields.readNumber(),
    byEndpoint: fields.readList(readEndpoint),
  };
}

function readEndpoint(fields: TupleReader): EndpointCount {
  return {
    instanceId: fields.readString(),
    answers: fields.readNumber(),
    bad: fields.readNumber(),
  };
}
