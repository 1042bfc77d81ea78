/**
 * Tells which headers of an HTTP message concern one connection only (RFC 9110,
 * 7.6.1). Whoever forwards a message drops them before it adds headers of its
 * own, so that one side's Connection header takes no effect on another's.
 */

/**
 * The headers that never go beyond a connection. Content-Length is one of them,
 * as each connection frames its bodies itself.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that begin so describe the body, which is forwarded. */
const CONTENT_PREFIX = 'content-';

/** Tells whether a header, by its name in lower case, is meant. */
export type HeaderPredicate = (name: string) => boolean;

const NONE: HeaderPredicate = () => false;

/**
 * Creates a predicate for the headers of a message that are not forwarded.
 *
 * @param connectionValues The values of the message's Connection headers.
 * @param isEndToEnd Which further headers are forwarded even if a Connection
 *     header lists them.
 */
export function createHopByHopPredicate(
  connectionValues: readonly string[],
  isEndToEnd = NONE,
): HeaderPredicate {
  const options = new Set<string>();
  for (const option of connectionValues.join().split(',')) {
    options.add(option.trim().toLowerCase());
  }
  return (name) => {
    if (HOP_BY_HOP_HEADERS.has(name)) return true;
    if (!options.has(name) || isNeverOption(name)) return false;
    return !isEndToEnd(name);
  };
}

/** Whether a header concerns all recipients, whatever its sender lists. */
function isNeverOption(name: string): boolean {
  return name === 'host' || name.startsWith(CONTENT_PREFIX);
}
