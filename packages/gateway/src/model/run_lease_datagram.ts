/** Datagrams by which hosts request, grant and end leases on runs. */
import type {TupleReader} from './tuple_reader.js';

/** One run of a content. */
export interface LeasedRun {
  readonly content: string;
  /** The host that drives the run. */
  readonly name: string;
  readonly incarnation: number;
  /** Distinguishes the runs of one incarnation of the host. */
  readonly run: number;
}

/** Requests or renews the lease. */
export interface LeaseRequestDatagram extends LeasedRun {
  readonly kind: 'lease-ask';
  /** The same when the request is sent again; returned in the answer. */
  readonly number: number;
  /** Whether the run holds the lease already. */
  readonly isRenewal: boolean;
}

/** Answers a request. */
export interface LeaseResponseDatagram {
  readonly kind: 'lease-answer';
  readonly number: number;
  readonly isGranted: boolean;
  /** When to ask again, in ms. */
  readonly waitMs: number;
  /** The starts of endpoints that are known to have ended under the content. */
  readonly instanceIds: readonly string[];
}

/** Ends the lease, or the waiting for it. */
export interface LeaseReleaseDatagram extends LeasedRun {
  readonly kind: 'lease-end';
}

/** Reads a request, without its kind. */
export function readLeaseRequest(fields: TupleReader): LeaseRequestDatagram {
  return {
    kind: 'lease-ask',
    ...readRun(fields),
    number: fields.readNumber(),
    isRenewal: fields.readBoolean(),
  };
}

/** Gives the tuple of a request, without its kind. */
export function encodeLeaseRequest(ask: LeaseRequestDatagram): unknown[] {
  return [...listRun(ask), ask.number, ask.isRenewal];
}

/** Reads an answer, without its kind. */
export function readLeaseResponse(fields: TupleReader): LeaseResponseDatagram {
  return {
    kind: 'lease-answer',
    number: fields.readNumber(),
    isGranted: fields.readBoolean(),
    waitMs: Math.max(0, fields.readNumber()),
    instanceIds: fields.readList((one) => one.readString()),
  };
}

/** Gives the tuple of an answer, without its kind. */
export function encodeLeaseResponse(answer: LeaseResponseDatagram): unknown[] {
  const {number, isGranted, waitMs, instanceIds} = answer;
  const ids = instanceIds.map((instanceId) => [instanceId]);
  return [number, isGranted, Math.ceil(waitMs), ids];
}

/** Reads the end of a lease, without its kind. */
export function readLeaseRelease(fields: TupleReader): LeaseReleaseDatagram {
  return {kind: 'lease-end', ...readRun(fields)};
}

/** Gives the tuple of the end of a lease, without its kind. */
export function encodeLeaseRelease(end: LeaseReleaseDatagram): unknown[] {
  return listRun(end);
}

function readRun(fields: TupleReader): LeasedRun {
  return {
    content: fields.readString(),
    name: fields.readString(),
    incarnation: fields.readNumber(),
    run: fields.readNumber(),
  };
}

function listRun({content, name, incarnation, run}: LeasedRun): unknown[] {
  return [content, name, incarnation, run];
}
