/** Waiting for a condition, without asserting on time. */
import {setTimeout as sleep} from 'node:timers/promises';

const STEP_MS = 20;
const GIVE_UP_MS = 30_000;

/** Waits until the condition holds; throws with its name when it never does. */
export async function waitUntil(
  name: string,
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  const endAt = Date.now() + GIVE_UP_MS;
  while (Date.now() < endAt) {
    try {
      if (await isMet()) return;
    } catch {
      // A process that is not up yet answers with an error; ask again.
    }
    await sleep(STEP_MS);
  }
  throw new Error(`Never came about: ${name}.`);
}
