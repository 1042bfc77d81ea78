/**
 * The target of a request (RFC 9112, 3.2). A path is the usual form; a server
 * must also accept an absolute one, as clients send it to proxies.
 */

/** The target of a request. */
export interface RequestTarget {
  /** Path and query. */
  readonly path: string;
  /** The host that an absolute form names, which then replaces Host. */
  readonly host: string | undefined;
}

const ABSOLUTE_FORM = /^https?:\/\/(?<host>[^/?]+)(?<path>.*)$/iu;

/** Parses the target of a request. */
export function parseRequestTarget(text: string): RequestTarget {
  const {host, path = ''} = ABSOLUTE_FORM.exec(text)?.groups ?? {};
  if (host === undefined) return {path: text, host: undefined};
  return {path: path.startsWith('/') ? path : `/${path}`, host};
}
