/**
 * Request ids that the system mints. An id is bound to one host and that
 * host's incarnation, which alone may start the request; this is how a
 * request that must not be repeated runs at most once without a write to the
 * platform: docs/design/at_most_once.md.
 */
import type {Signer} from './signature.js';

/** What a minted id says. */
export interface MintedId {
  readonly hostId: string;
  readonly incarnation: string;
  /** When it was minted, in seconds since 1970. */
  readonly mintedAt: number;
  readonly serial: number;
}

/** A request id: minted, chosen by the caller, or forged. */
export type ParsedRequestId =
  | {readonly origin: 'caller'; readonly id: string}
  | {readonly origin: 'forged'; readonly id: string}
  | {readonly origin: 'minted'; readonly id: string; readonly minted: MintedId};

const PREFIX = 'i1';
const SEPARATOR = '~';
const RADIX = 36;

/** What a request id may look like in a header. */
export const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:~[\]-]{1,200}$/;

/** Formats and signs an id. */
export function createRequestId(minted: MintedId, signer: Signer): string {
  const body = [
    PREFIX,
    minted.hostId,
    minted.incarnation,
    minted.mintedAt.toString(RADIX),
    minted.serial.toString(RADIX),
  ].join(SEPARATOR);
  return body + SEPARATOR + signer.sign(body);
}

/** Reads an id and verifies its signature. */
export function parseRequestId(id: string, signer: Signer): ParsedRequestId {
  const parts = id.split(SEPARATOR);
  if (parts[0] !== PREFIX) return {origin: 'caller', id};
  const [, hostId, incarnation, mintedAt, serial, signature] = parts;
  if (hostId === undefined || incarnation === undefined) {
    return {origin: 'forged', id};
  }
  if (mintedAt === undefined || serial === undefined) {
    return {origin: 'forged', id};
  }
  const body = parts.slice(0, -1).join(SEPARATOR);
  if (signature === undefined || !signer.hasValidSignature(body, signature)) {
    return {origin: 'forged', id};
  }
  const minted = {
    hostId,
    incarnation,
    mintedAt: parseInt(mintedAt, RADIX),
    serial: parseInt(serial, RADIX),
  };
  return {origin: 'minted', id, minted};
}
