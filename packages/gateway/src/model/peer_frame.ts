/**
 * The frame of a datagram between hosts: a header with a format version and a
 * tag of the sender's deployment. Host names, incarnations and table revisions
 * are meaningless outside their deployment, so the payload of a datagram from
 * another deployment is not decoded.
 */
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';

/** Why a datagram was dropped. */
export type DropReason = 'malformed' | 'other_deployment' | 'other_version';

const VERSION = 1;
const VERSION_BYTES = 1;
const TAG_BYTES = 8;
const HEADER_BYTES = VERSION_BYTES + TAG_BYTES;

/** Frames the datagrams of one deployment. */
export class PeerFrame {
  /** Identifies the deployment in calls between hosts; hexadecimal. */
  readonly tag: string;
  private readonly header: Buffer;

  /** @param deployment The name of the deployment. */
  constructor(deployment: string) {
    const digest = createHash('sha256').update(deployment).digest();
    const tag = digest.subarray(0, TAG_BYTES);
    this.tag = tag.toString('hex');
    this.header = Buffer.concat([Buffer.of(VERSION), tag]);
  }

  /** Adds the header to a payload. */
  encode(payload: Uint8Array): Uint8Array {
    return Buffer.concat([this.header, payload]);
  }

  /** Removes the header; an error says why the datagram must be dropped. */
  decode(datagram: Uint8Array): Result<Uint8Array, DropReason> {
    if (datagram.length < HEADER_BYTES) return err('malformed');
    if (datagram[0] !== VERSION) return err('other_version');
    const header = datagram.subarray(0, HEADER_BYTES);
    if (!this.header.equals(header)) return err('other_deployment');
    return ok(datagram.subarray(HEADER_BYTES));
  }
}
