/** Waiting that ends early when it is no longer wanted. */

/** Waits for a promise, or until the signal is aborted. */
export async function waitUnlessAborted(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  let end: () => void = () => undefined;
  const aborted = new Promise<void>((resolve) => {
    end = resolve;
  });
  signal.addEventListener('abort', end);
  try {
    await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', end);
  }
}
