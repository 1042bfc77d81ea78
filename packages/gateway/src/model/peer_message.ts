/**
 * The datagram by which a host tells others that it is there, what it has in
 * force, and what it has running.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Where a host can be reached by other hosts and by callers. */
export const PEER_PLACE_SCHEMA = z.object({
  name: z.string(),
  /** Where it takes datagrams, as `ip:port`. */
  datagrams: z.string(),
  /** Where it answers other hosts, as `ip:port`. */
  tables: z.string(),
  /** Where it takes callers, as `ip:port`. */
  callers: z.string(),
});

/** What a host has at one endpoint. */
export const PEER_USE_SCHEMA = z.object({
  running: z.number(),
  unreadTokens: z.number(),
  expectedTokens: z.number(),
});

/** The datagram. */
export const PEER_MESSAGE_SCHEMA = z.object({
  place: PEER_PLACE_SCHEMA,
  incarnation: z.number(),
  /** Rises with each datagram of one life of the process. */
  sequence: z.number(),
  state: z.enum(['starting', 'ready', 'leaving']),
  /** The highest revision of a change that it knows, by table. */
  revisions: z.object({configuration: z.number(), endpoints: z.number()}),
  /** What it has running, by the instance id of the endpoint. */
  uses: z.record(z.string(), PEER_USE_SCHEMA),
  /** Where other hosts that it hears take datagrams; a few of them. */
  heard: z.array(z.string()),
});

/** Where a host can be reached. */
export type PeerPlace = z.infer<typeof PEER_PLACE_SCHEMA>;
/** The datagram. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
/** Whether a host takes callers. */
export type PeerState = PeerMessage['state'];

/** Reads a datagram. */
export function decodePeerMessage(bytes: Buffer): Result<PeerMessage, string> {
  try {
    const parsed = PEER_MESSAGE_SCHEMA.safeParse(JSON.parse(bytes.toString()));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch {
    return err('it is no JSON');
  }
}

/** Writes a datagram. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}
