/** Datagrams by which hosts request, grant and release leases on runs. */
import type {TupleReader} from './tuple_reader.js';

/** One run of a request, which is identified by its content. */
export interface LeasedRun {
  readonly content: string;
  /** The host that drives the run. */
  readonly name: string;
  readonly incarnation: number;
  /** Distinguishes the runs of one incarnation of the host. */
  readonly run: number;
}

/** Requests or renews a lease. */
export interface LeaseRequestDatagram extends LeasedRun {
  readonly kind: 'lease-ask';
  /** Identifies the request in its response; the same when it is sent again. */
  readonly number: number;
  /** Whether the run already holds the lease. */
  readonly isRenewal: boolean;
}

/** The response to a lease request. */
export interface LeaseResponseDatagram {
  readonly kind: 'lease-answer';
  readonly number: number;
  readonly isGranted: boolean;
  /** The time until the next request, in ms. */
  readonly waitMs: number;
  /** The endpoint instances that are known to have crashed on this content. */
  readonly instanceIds: readonly string[];
}

/** Releases a lease, or withdraws the request for it. */
export interface LeaseReleaseDatagram extends LeasedRun {
  readonly kind: 'lease-end';
}

/** Reads the fields of a lease request, without the kind. */
export function readLeaseRequest(fields: TupleReader): LeaseRequestDatagram {
  return {
    kind: 'lease-ask',
    ...readRun(fields),
    number: fields.readNumber(),
    isRenewal: fields.readBoolean(),
  };
}

/** Encodes a lease request as a tuple, without the kind. */
export function encodeLeaseRequest(request: LeaseRequestDatagram): unknown[] {
  return [...encodeRun(request), request.number, request.isRenewal];
}

/** Reads the fields of a lease response, without the kind. */
export function readLeaseResponse(fields: TupleReader): LeaseResponseDatagram {
  return {
    kind: 'lease-answer',
    number: fields.readNumber(),
    isGranted: fields.readBoolean(),
    waitMs: Math.max(0, fields.readNumber()),
    instanceIds: fields.readList((one) => one.readString()),
  };
}

/** Encodes a lease response as a tuple, without the kind. */
export function encodeLeaseResponse(
  response: LeaseResponseDatagram,
): unknown[] {
  const {number, isGranted, waitMs, instanceIds} = response;
  const ids = instanceIds.map((instanceId) => [instanceId]);
  return [number, isGranted, Math.ceil(waitMs), ids];
}

/** Reads the fields of a lease release, without the kind. */
export function readLeaseRelease(fields: TupleReader): LeaseReleaseDatagram {
  return {kind: 'lease-end', ...readRun(fields)};
}

/** Encodes a lease release as a tuple, without the kind. */
export function encodeLeaseRelease(release: LeaseReleaseDatagram): unknown[] {
  return encodeRun(release);
}

function readRun(fields: TupleReader): LeasedRun {
  return {
    content: fields.readString(),
    name: fields.readString(),
    incarnation: fields.readNumber(),
    run: fields.readNumber(),
  };
}

function encodeRun({content, name, incarnation, run}: LeasedRun): unknown[] {
  return [content, name, incarnation, run];
}
