/**
 * Writes and reads the datagrams between hosts: tuples in MessagePack, as a
 * host writes and reads some twenty a second.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {
  Crash,
  HostUpdate,
  HostRecord,
  ReaderReport,
} from '@irisdock/decisions';
import {getErrorText} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
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
  PeerLocation,
  PeerUsage,
  EndpointUsageReport,
  UsageDatagram,
  MembershipDatagram,
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
import {TupleReader} from './tuple_reader.js';
import {REPLICATED_TABLES} from './table_store.js';

const STATES = ['starting', 'ready', 'leaving'] as const;
const WATCH_KINDS = ['answer', 'notice', 'probe', 'relay'] as const;
/**
 * Watch, uses, news, question, answer, loss, report and phase of roll-outs,
 * crashes, contents without any, limits, permits asked for and given, and leases
 * requested, granted and ended.
 */
const KINDS = [
  'w',
  'u',
  'n',
  'q',
  'a',
  'l',
  'r',
  'p',
  'c',
  'd',
  'm',
  'i',
  'g',
  's',
  't',
  'e',
] as const;

/** Reads a datagram. */
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
  const kind = fields.readEnum(KINDS);
  switch (kind) {
    case 'w':
      return readWatch(fields);
    case 'u':
      return readUses(fields);
    case 'n':
      return readNews(fields);
    case 'q':
      return {
        kind: 'question',
        name: fields.readString(),
        number: fields.readNumber(),
        instanceIds: fields.readList((one) => one.readString()),
      };
    case 'a':
      return {
        kind: 'answer',
        number: fields.readNumber(),
        uses: fields.readList(readToldUse),
      };
    case 'l':
      return {kind: 'loss', instanceId: fields.readString()};
    case 'r':
      return readRolloutReport(fields);
    case 'p':
      return readRolloutPhase(fields);
    case 'c':
      return {kind: 'crashes', crashes: fields.readList(readCrash)};
    case 'd':
      return {kind: 'cleared', content: fields.readString()};
    case 'm':
      return readLimits(fields);
    case 'i':
      return readPermitRequest(fields);
    case 'g':
      return readPermitResponse(fields);
    case 's':
      return readLeaseRequest(fields);
    case 't':
      return readLeaseResponse(fields);
    case 'e':
      return readLeaseRelease(fields);
  }
}

function readCrash(fields: TupleReader): Crash {
  return {content: fields.readString(), instanceId: fields.readString()};
}

function readNews(fields: TupleReader): TableUpdateDatagram {
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
  };
}

function readWatch(fields: TupleReader): MembershipDatagram {
  return {
    kind: 'watch',
    watch: {
      kind: fields.readEnum(WATCH_KINDS),
      sender: fields.readTuple(readRecord),
      place: fields.readOptionalTuple(readPlace),
      asker: fields.readOptionalString(),
      target: fields.readOptionalString(),
      updates: fields.readList(readChange),
      recordsHash: fields.readNumber(),
    },
    revisions: fields.readTuple((revisions) => ({
      configuration: revisions.readNumber(),
      endpoints: revisions.readNumber(),
      crashes: revisions.readNumber(),
    })),
    reports: fields.readList(readReport),
    sentAt: fields.readNumber(),
  };
}

function readRecord(fields: TupleReader): HostRecord {
  return {
    name: fields.readString(),
    incarnation: fields.readNumber(),
    version: fields.readNumber(),
    state: fields.readEnum(STATES),
    isStoreAway: fields.readBoolean(),
  };
}

function readPlace(fields: TupleReader): PeerLocation {
  return {
    failureDomain: fields.readString(),
    datagrams: fields.readString(),
    tables: fields.readString(),
    callers: fields.readString(),
  };
}

function readChange(fields: TupleReader): HostUpdate<PeerLocation> {
  return {
    record: fields.readTuple(readRecord),
    isSuspected: fields.readBoolean(),
    place: fields.readOptionalTuple(readPlace),
  };
}

function readReport(fields: TupleReader): ReaderReport {
  return {
    name: fields.readString(),
    incarnation: fields.readNumber(),
    sequence: fields.readNumber(),
    configurationRevision: fields.readNumber(),
    configurationAgeMs: fields.readNumber(),
    departureDelayMs: fields.readNumber(),
  };
}

function readUses(fields: TupleReader): UsageDatagram {
  const name = fields.readString();
  const incarnation = fields.readNumber();
  const sequence = fields.readNumber();
  const uses: Record<string, PeerUsage> = {};
  for (const one of fields.readList(readToldUse)) {
    const {running, unreadTokens, expectedTokens} = one;
    uses[one.instanceId] = {running, unreadTokens, expectedTokens};
  }
  return {kind: 'uses', name, incarnation, sequence, uses};
}

function readToldUse(fields: TupleReader): EndpointUsageReport {
  return {
    instanceId: fields.readString(),
    running: fields.readNumber(),
    unreadTokens: fields.readNumber(),
    expectedTokens: fields.readNumber(),
    failures: fields.readNumber(),
  };
}

/** Writes a datagram. */
export function encodePeerDatagram(datagram: PeerDatagram): Uint8Array {
  switch (datagram.kind) {
    case 'watch':
      return encodeWatch(datagram);
    case 'uses': {
      const {name, incarnation, sequence, uses} = datagram;
      const list = Object.entries(uses).map(([instanceId, use]) =>
        listToldUse({instanceId, ...use, failures: 0}),
      );
      return encode(['u', name, incarnation, sequence, list]);
    }
    case 'news': {
      const {table, after, revision, newest, source} = datagram;
      const {isScheduledPoll: isTurn, isForGroup, packedRows} = datagram;
      const ageMs = Math.round(datagram.ageMs);
      return encode([
        'n',
        table,
        after,
        revision,
        newest,
        ageMs,
        isTurn,
        source,
        isForGroup,
        packedRows,
      ]);
    }
    case 'question': {
      const {name, number, instanceIds} = datagram;
      return encode(['q', name, number, instanceIds.map((id) => [id])]);
    }
    case 'answer':
      return encode(['a', datagram.number, datagram.uses.map(listToldUse)]);
    case 'loss':
      return encode(['l', datagram.instanceId]);
    case 'rollout-report':
      return encode(['r', ...encodeRolloutReport(datagram)]);
    case 'rollout-phase': {
      const {service, revision, phase} = datagram;
      return encode(['p', service, revision, phase]);
    }
    case 'crashes': {
      const list = datagram.crashes.map(({content, instanceId}) => [
        content,
        instanceId,
      ]);
      return encode(['c', list]);
    }
    case 'cleared':
      return encode(['d', datagram.content]);
    default:
      return encodeGrant(datagram);
  }
}

function encodeGrant(datagram: GrantDatagram): Uint8Array {
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
  }
}

function listToldUse(told: EndpointUsageReport): unknown[] {
  return [
    told.instanceId,
    told.running,
    Math.round(told.unreadTokens),
    Math.round(told.expectedTokens),
    told.failures,
  ];
}

function encodeWatch({
  watch,
  revisions,
  reports,
  sentAt,
}: MembershipDatagram): Uint8Array {
  return encode([
    'w',
    watch.kind,
    listRecord(watch.sender),
    listPlace(watch.place),
    watch.asker,
    watch.target,
    watch.updates.map(({record, isSuspected, place}) => [
      listRecord(record),
      isSuspected,
      listPlace(place),
    ]),
    watch.recordsHash,
    [revisions.configuration, revisions.endpoints, revisions.crashes],
    reports.map((report) => [
      report.name,
      report.incarnation,
      report.sequence,
      report.configurationRevision,
      Math.round(report.configurationAgeMs),
      Math.round(report.departureDelayMs),
    ]),
    Math.round(sentAt),
  ]);
}

function listRecord(record: HostRecord): unknown[] {
  const {name, incarnation, version, state, isStoreAway} = record;
  return [name, incarnation, version, state, isStoreAway];
}

function listPlace(place: PeerLocation | undefined): string[] | undefined {
  if (place === undefined) return undefined;
  return [place.failureDomain, place.datagrams, place.tables, place.callers];
}
