/** Waiting for a promise that an abort signal can cut short. */

/** Resolves when the promise does or when the signal is aborted. */
export async function waitUnlessAborted(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  let resolveAborted: () => void = () => undefined;
  const aborted = new Promise<void>((resolve) => {
    resolveAborted = resolve;
  });
  signal.addEventListener('abort', resolveAborted);
  try {
    await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', resolveAborted);
  }
}
