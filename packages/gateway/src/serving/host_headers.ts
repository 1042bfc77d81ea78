/**
 * The headers that only hosts send to each other, on the answer to a relayed
 * request. An endpoint that sends one must not be taken for a host.
 */
import type {HeaderLines} from '../model/request_metadata.js';

/**
 * The header of a refusal that is due to the host: it cannot reach the
 * endpoints either, or does not know the route. Another host may serve.
 */
export const RELAY_HEADER = 'Irisdock-Relay';
/** The header of an answer that its endpoint sent without framing. */
export const FRAMING_HEADER = 'Irisdock-Framing';

const HOST_HEADERS: ReadonlySet<string> = new Set([
  RELAY_HEADER.toLowerCase(),
  FRAMING_HEADER.toLowerCase(),
]);

/** Drops the headers that only hosts send. */
export function dropHostHeaders(lines: HeaderLines): HeaderLines {
  return lines.filter(([name]) => !HOST_HEADERS.has(name.toLowerCase()));
}
