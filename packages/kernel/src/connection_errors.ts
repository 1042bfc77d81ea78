/** What a failed connection proves about the request that was to go over it. */

const NEVER_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Tells whether an error says that nothing listens at an address. */
export function isRefused(thrown: unknown): boolean {
  if (!(thrown instanceof Error)) return false;
  if ('code' in thrown && thrown.code === 'ECONNREFUSED') return true;
  return isRefused(thrown.cause);
}

/** Tells whether an HTTP client's error proves that nothing was sent. */
export function isNeverSent(thrown: unknown): boolean {
  if (!(thrown instanceof Error) || !('code' in thrown)) return false;
  return NEVER_SENT.has(String(thrown.code));
}
