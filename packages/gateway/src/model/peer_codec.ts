/**
 * Encodes and decodes the datagrams between hosts. They are tuples in
 * MessagePack rather than objects in JSON, as a host handles some twenty per
 * second.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {Crash} from '@irisdock/decisions';
import {getErrorText} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {
  encodeBegunReport,
  encodeBegunRequest,
  readBegunReport,
  readBegunRequest,
  type BegunDatagram,
} from './begun_datagram.js';
import {
  encodeDemand,
  readDemand,
  type DemandDatagram,
} from './demand_datagram.js';
import {
  encodeLimits,
  encodePermitResponse,
  encodePermitRequest,
  readLimits,
  readPermitResponse,
  readPermitRequest,
} from './limit_datagram.js';
import type {
  GrantDatagram,
  TableUpdateDatagram,
  PeerDatagram,
  PeerUsage,
  EndpointUsageReport,
  UsageDatagram,
} from './peer_message.js';
import {
  encodeRolloutReport,
  readRolloutPhase,
  readRolloutReport,
} from './rollout_datagram.js';
import {
  encodeLeaseResponse,
  encodeLeaseRequest,
  encodeLeaseRelease,
  readLeaseResponse,
  readLeaseRequest,
  readLeaseRelease,
} from './run_lease_datagram.js';
import {
  encodeLoanRequest,
  encodeLoanResponse,
  readLoanRequest,
  readLoanResponse,
  type LoanDatagram,
} from './loan_datagram.js';
import {encodeMembership, readMembership} from './membership_datagram.js';
import {
  encodeOriginRequest,
  encodeOriginResponse,
  encodeOrigins,
  readOriginRequest,
  readOriginResponse,
  readOrigins,
  type OriginDatagram,
} from './origin_datagram.js';
import {TupleReader} from './tuple_reader.js';
import {REPLICATED_TABLES} from './table_store.js';

/** Decodes a datagram; an error names the malformed field. */
export function decodePeerDatagram(
  bytes: Uint8Array,
): Result<PeerDatagram, string> {
  try {
    return ok(readDatagram(new TupleReader(decode(bytes))));
  } catch (thrown) {
    return err(getErrorText(thrown));
  }
}

function readDatagram(fields: TupleReader): PeerDatagram {
  return READERS[fields.readEnum(KIND_CODES)](fields);
}

/** What reads the fields of a datagram after its code, by code. */
const READERS = {
  w: readMembership,
  u: readUsage,
  n: readTableUpdate,
  q: readUsageQuery,
  a: (fields) => ({
    kind: 'answer',
    number: fields.readNumber(),
    uses: fields.readList(readUsageReport),
  }),
  l: (fields) => ({kind: 'loss', instanceId: fields.readString()}),
  r: readRolloutReport,
  p: readRolloutPhase,
  c: (fields) => ({kind: 'crashes', crashes: fields.readList(readCrash)}),
  d: (fields) => ({kind: 'cleared', content: fields.readString()}),
  m: readLimits,
  i: readPermitRequest,
  g: readPermitResponse,
  s: readLeaseRequest,
  t: readLeaseResponse,
  e: readLeaseRelease,
  o: readOrigins,
  f: readOriginRequest,
  h: readOriginResponse,
  b: readBegunReport,
  k: readBegunRequest,
  v: readDemand,
  y: readLoanRequest,
  z: readLoanResponse,
} as const satisfies Record<string, (fields: TupleReader) => PeerDatagram>;

type KindCode = keyof typeof READERS;

const KIND_CODES = Object.keys(READERS) as KindCode[];

function readUsageQuery(fields: TupleReader): PeerDatagram {
  return {
    kind: 'question',
    name: fields.readString(),
    number: fields.readNumber(),
    instanceIds: fields.readList((one) => one.readString()),
  };
}

function readCrash(fields: TupleReader): Crash {
  return {content: fields.readString(), instanceId: fields.readString()};
}

function readTableUpdate(fields: TupleReader): TableUpdateDatagram {
  return {
    kind: 'news',
    table: fields.readEnum(REPLICATED_TABLES),
    after: fields.readNumber(),
    revision: fields.readNumber(),
    newest: fields.readNumber(),
    ageMs: fields.readNumber(),
    isScheduledPoll: fields.readBoolean(),
    source: fields.readString(),
    isForGroup: fields.readBoolean(),
    packedRows: fields.readBytes(),
    // Absent without regions, and from hosts of older versions.
    ...(fields.readOptionalBoolean() === true ? {isForRegion: true} : {}),
    // Absent from hosts of older versions.
    ...readStoreNow(fields),
  };
}

function readStoreNow(
  fields: TupleReader,
): Pick<TableUpdateDatagram, 'storeNow'> {
  const storeNow = fields.readOptionalNumber();
  return storeNow === undefined ? {} : {storeNow};
}

function readUsage(fields: TupleReader): UsageDatagram {
  const name = fields.readString();
  const incarnation = fields.readNumber();
  const sequence = fields.readNumber();
  const uses: Record<string, PeerUsage> = {};
  for (const report of fields.readList(readUsageReport)) {
    const {running, unreadTokens, expectedTokens} = report;
    uses[report.instanceId] = {running, unreadTokens, expectedTokens};
  }
  return {kind: 'uses', name, incarnation, sequence, uses};
}

function readUsageReport(fields: TupleReader): EndpointUsageReport {
  return {
    instanceId: fields.readString(),
    running: fields.readNumber(),
    unreadTokens: fields.readNumber(),
    expectedTokens: fields.readNumber(),
    failures: fields.readNumber(),
  };
}

/** Encodes a datagram. */
export function encodePeerDatagram(datagram: PeerDatagram): Uint8Array {
  switch (datagram.kind) {
    case 'watch':
      return encode(['w', ...encodeMembership(datagram)]);
    case 'uses': {
      const {name, incarnation, sequence, uses} = datagram;
      const reports = Object.entries(uses).map(([instanceId, usage]) =>
        encodeUsageReport({instanceId, ...usage, failures: 0}),
      );
      return encode(['u', name, incarnation, sequence, reports]);
    }
    case 'news':
      return encodeTableUpdate(datagram);
    case 'question': {
      const {name, number, instanceIds} = datagram;
      return encode(['q', name, number, instanceIds.map((id) => [id])]);
    }
    case 'answer':
      return encode([
        'a',
        datagram.number,
        datagram.uses.map(encodeUsageReport),
      ]);
    case 'loss':
      return encode(['l', datagram.instanceId]);
    case 'rollout-report':
      return encode(['r', ...encodeRolloutReport(datagram)]);
    case 'rollout-phase': {
      const {service, revision, phase} = datagram;
      return encode(['p', service, revision, phase]);
    }
    case 'crashes': {
      const crashes = datagram.crashes.map(({content, instanceId}) => [
        content,
        instanceId,
      ]);
      return encode(['c', crashes]);
    }
    case 'cleared':
      return encode(['d', datagram.content]);
    default:
      return encodeServiceDatagram(datagram);
  }
}

function encodeTableUpdate(datagram: TableUpdateDatagram): Uint8Array {
  const {table, after, revision, newest, source} = datagram;
  const {isScheduledPoll, isForGroup, packedRows} = datagram;
  const {isForRegion = false, storeNow} = datagram;
  const ageMs = Math.round(datagram.ageMs);
  return encode([
    'n',
    table,
    after,
    revision,
    newest,
    ageMs,
    isScheduledPoll,
    source,
    isForGroup,
    packedRows,
    ...(isForRegion || storeNow !== undefined ? [isForRegion] : []),
    ...(storeNow === undefined ? [] : [storeNow]),
  ]);
}

/** Encodes a datagram of a service that registers a handler. */
function encodeServiceDatagram(
  datagram:
    | BegunDatagram
    | DemandDatagram
    | GrantDatagram
    | LoanDatagram
    | OriginDatagram,
): Uint8Array {
  switch (datagram.kind) {
    case 'limits':
      return encode(['m', ...encodeLimits(datagram)]);
    case 'permit-ask':
      return encode(['i', ...encodePermitRequest(datagram)]);
    case 'permit-answer':
      return encode(['g', ...encodePermitResponse(datagram)]);
    case 'lease-ask':
      return encode(['s', ...encodeLeaseRequest(datagram)]);
    case 'lease-answer':
      return encode(['t', ...encodeLeaseResponse(datagram)]);
    case 'lease-end':
      return encode(['e', ...encodeLeaseRelease(datagram)]);
    case 'origins':
      return encode(['o', ...encodeOrigins(datagram)]);
    case 'origin-ask':
      return encode(['f', ...encodeOriginRequest(datagram)]);
    case 'origin-answer':
      return encode(['h', ...encodeOriginResponse(datagram)]);
    case 'begun-report':
      return encode(['b', ...encodeBegunReport(datagram)]);
    case 'begun-ask':
      return encode(['k', ...encodeBegunRequest(datagram)]);
    case 'demand':
      return encode(['v', ...encodeDemand(datagram)]);
    case 'loan-ask':
      return encode(['y', ...encodeLoanRequest(datagram)]);
    case 'loan-answer':
      return encode(['z', ...encodeLoanResponse(datagram)]);
  }
}

function encodeUsageReport(report: EndpointUsageReport): unknown[] {
  return [
    report.instanceId,
    report.running,
    Math.round(report.unreadTokens),
    Math.round(report.expectedTokens),
    report.failures,
  ];
}
