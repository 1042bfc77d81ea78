/**
 * The datagram by which a host tells others that it is there, what it has in
 * force, and what it has running.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {TABLE_ROW_SCHEMA} from './peer_tables_message.js';
import {FOLLOWED_TABLES} from './watched_table.js';

/** Where a host can be reached by other hosts and by callers. */
export const PEER_PLACE_SCHEMA = z.object({
  name: z.string(),
  failureDomain: z.string(),
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

/** How a host stands with the store. */
export const STORE_STANDING_SCHEMA = z.object({
  /** Whether its last calls failed, a moment ago. */
  isAway: z.boolean(),
  /** How long ago the configuration was certainly the newest, in ms. */
  configurationAgeMs: z.number(),
  /**
   * For how long vanished entries stay in use, in ms; null from a host that
   * does not read the store itself.
   */
  departureDelayMs: z.number().nullable(),
});

/** Changes of a table that follow on a known one. */
export const TABLE_NEWS_SCHEMA = z.object({
  table: z.enum(FOLLOWED_TABLES),
  /** The highest revision of a change before these. */
  after: z.number(),
  revision: z.number(),
  rows: z.array(TABLE_ROW_SCHEMA),
});

/** What a host passes on of another. */
export const HOST_DIGEST_SCHEMA = z.object({
  name: z.string(),
  incarnation: z.number(),
  sequence: z.number(),
  state: z.enum(['starting', 'ready', 'leaving']),
  isStoreAway: z.boolean(),
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
  /** How it stands with the store. */
  store: STORE_STANDING_SCHEMA,
  /** Changes that it has just read, where they fit. */
  news: z.array(TABLE_NEWS_SCHEMA),
  /** What it knows of other hosts, where not all hear each other directly. */
  digests: z.array(HOST_DIGEST_SCHEMA),
  /** What it has running, by the instance id of the endpoint. */
  uses: z.record(z.string(), PEER_USE_SCHEMA),
  /** Where other hosts that it hears take datagrams; a few of them. */
  heard: z.array(z.string()),
});

/** Where a host can be reached. */
export type PeerPlace = z.infer<typeof PEER_PLACE_SCHEMA>;
/** Changes of a table that follow on a known one. */
export type TableNews = z.infer<typeof TABLE_NEWS_SCHEMA>;
/** What a host passes on of another. */
export type HostDigest = z.infer<typeof HOST_DIGEST_SCHEMA>;
/** The datagram. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
/** Whether a host takes callers. */
export type PeerState = PeerMessage['state'];

/**
 * A message is small and sent often: a small window is enough to find its
 * repeated names, and saves zlib from taking 256 KB for each.
 */
const DEFLATE_OPTIONS = {windowBits: 12, memLevel: 5} as const;
/** No message comes near this size, in bytes; larger ones are not unpacked. */
const MAX_MESSAGE_BYTES = 262_144;

/** Reads a datagram. */
export function decodePeerMessage(bytes: Buffer): Result<PeerMessage, string> {
  let json: unknown;
  try {
    const text = inflateRawSync(bytes, {maxOutputLength: MAX_MESSAGE_BYTES});
    json = JSON.parse(text.toString());
  } catch {
    return err('it is no packed JSON');
  }
  const parsed = PEER_MESSAGE_SCHEMA.safeParse(json);
  return parsed.success ? ok(parsed.data) : err(parsed.error.message);
}

/** Writes a datagram: JSON, deflated, as bytes between domains cost. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return deflateRawSync(JSON.stringify(message), DEFLATE_OPTIONS);
}
