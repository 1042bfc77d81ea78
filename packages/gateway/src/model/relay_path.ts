/**
 * The path by which a host relays a caller's request to another host. The
 * caller's own path follows unchanged.
 */

/** What a host states about a request that it relays. */
export interface RelayHop {
  /** The tag of the deployment (`peer_frame.ts`). */
  readonly deployment: string;
  /** The name of the host that relays. */
  readonly from: string;
  /** How many runs of the request are still allowed. */
  readonly maxRuns: number;
}

/** The start of the path of each relayed request. */
export const RELAY_PATH = '/peer/relay/';
const PATTERN = /^\/peer\/relay\/([0-9a-f]+)\/([^/]+)\/(\d+)(\/.*)$/u;

/** Formats the path of a relayed request. */
export function formatRelayPath(
  {deployment, from, maxRuns}: RelayHop,
  path: string,
): string {
  const name = encodeURIComponent(from);
  return `${RELAY_PATH}${deployment}/${name}/${maxRuns}${path}`;
}

/** Parses the path of a relayed request; undefined if it is malformed. */
export function parseRelayPath(
  text: string,
): {readonly hop: RelayHop; readonly path: string} | undefined {
  const [, deployment, name, maxRuns, path] = PATTERN.exec(text) ?? [];
  if (deployment === undefined || name === undefined) return undefined;
  if (path === undefined) return undefined;
  const from = decodeName(name);
  if (from === undefined) return undefined;
  return {hop: {deployment, from, maxRuns: Number(maxRuns)}, path};
}

function decodeName(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
