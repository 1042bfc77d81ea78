/** Encodes and decodes the datagrams by which hosts watch each other. */
import type {
  HostCapacity,
  HostRecord,
  HostUpdate,
  ReaderReport,
} from '@irisdock/decisions';
import type {MembershipDatagram, PeerLocation} from './peer_message.js';
import type {TupleReader} from './tuple_reader.js';

const HOST_STATES = ['starting', 'ready', 'leaving'] as const;
/** Cores and link rates are whole numbers of a thousandth and a tenth. */
const CAPACITY_UNITS = {cores: 1000, linkMbps: 10} as const;
const MEMBERSHIP_KINDS = ['answer', 'notice', 'probe', 'relay'] as const;

/** Reads the fields of a membership datagram, without the kind. */
export function readMembership(fields: TupleReader): MembershipDatagram {
  return {
    kind: 'watch',
    watch: {
      kind: fields.readEnum(MEMBERSHIP_KINDS),
      sender: fields.readTuple(readRecord),
      place: fields.readOptionalTuple(readLocation),
      asker: fields.readOptionalString(),
      target: fields.readOptionalString(),
      updates: fields.readList(readChange),
      recordsHash: fields.readNumber(),
    },
    revisions: fields.readTuple((revisions) => ({
      configuration: revisions.readNumber(),
      endpoints: revisions.readNumber(),
      crashes: revisions.readNumber(),
      // Absent in datagrams of hosts of an older version.
      versions: revisions.readOptionalNumber() ?? 0,
    })),
    reports: fields.readList(readReport),
    sentAt: fields.readNumber(),
  };
}

/** Encodes a membership datagram as a tuple, without the kind. */
export function encodeMembership({
  watch,
  revisions,
  reports,
  sentAt,
}: MembershipDatagram): unknown[] {
  return [
    watch.kind,
    encodeRecord(watch.sender),
    encodeLocation(watch.place),
    watch.asker,
    watch.target,
    watch.updates.map(({record, isSuspected, place}) => [
      encodeRecord(record),
      isSuspected,
      encodeLocation(place),
    ]),
    watch.recordsHash,
    [
      revisions.configuration,
      revisions.endpoints,
      revisions.crashes,
      revisions.versions,
    ],
    reports.map((report) => [
      report.name,
      report.incarnation,
      report.sequence,
      report.configurationRevision,
      Math.round(report.configurationAgeMs),
      Math.round(report.departureDelayMs),
    ]),
    Math.round(sentAt),
  ];
}

function readRecord(fields: TupleReader): HostRecord {
  return {
    name: fields.readString(),
    incarnation: fields.readNumber(),
    version: fields.readNumber(),
    state: fields.readEnum(HOST_STATES),
    isStoreAway: fields.readBoolean(),
    ...(fields.readOptionalBoolean() === true ? {isTaskExcluded: true} : {}),
  };
}

function readLocation(fields: TupleReader): PeerLocation {
  return {
    failureDomain: fields.readString(),
    datagrams: fields.readString(),
    tables: fields.readString(),
    callers: fields.readString(),
    ...readCapacity(fields),
  };
}

/** Reads the capacity, which hosts of older versions do not send. */
function readCapacity(fields: TupleReader): Pick<PeerLocation, 'capacity'> {
  const cores = fields.readOptionalNumber();
  const linkMbps = fields.readOptionalNumber();
  const memoryMb = fields.readOptionalNumber();
  if (cores === undefined) return {};
  const capacity: HostCapacity = {
    cores: cores / CAPACITY_UNITS.cores,
    linkMbps: (linkMbps ?? 0) / CAPACITY_UNITS.linkMbps,
    memoryMb: memoryMb ?? 0,
  };
  return {capacity};
}

function readChange(fields: TupleReader): HostUpdate<PeerLocation> {
  return {
    record: fields.readTuple(readRecord),
    isSuspected: fields.readBoolean(),
    place: fields.readOptionalTuple(readLocation),
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

function encodeRecord(record: HostRecord): unknown[] {
  const {name, incarnation, version, state, isStoreAway} = record;
  const fields = [name, incarnation, version, state, isStoreAway];
  return record.isTaskExcluded === true ? [...fields, true] : fields;
}

function encodeLocation(place: PeerLocation | undefined): unknown {
  if (place === undefined) return undefined;
  const {failureDomain, datagrams, tables, callers, capacity} = place;
  const fields = [failureDomain, datagrams, tables, callers];
  return capacity === undefined
    ? fields
    : [...fields, ...encodeCapacity(capacity)];
}

function encodeCapacity({cores, linkMbps, memoryMb}: HostCapacity): number[] {
  return [
    Math.round(cores * CAPACITY_UNITS.cores),
    Math.round(linkMbps * CAPACITY_UNITS.linkMbps),
    Math.round(memoryMb),
  ];
}
