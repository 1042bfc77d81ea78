/** Waits until a host takes callers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {getErrorText} from '@irisdock/kernel';
import {READINESS_PATH} from '@irisdock/users-platform/fixtures';
import type {HostProcess} from './host_process.js';

const START_TRIES = 600;
const START_STEP_MS = 50;
const ASK_TIMEOUT_MS = 1000;

/** Waits until a host is ready; throws an error that names the logs if not. */
export async function waitReady(
  host: HostProcess,
  directory: string,
): Promise<void> {
  let fault: string | undefined;
  for (let tries = 0; tries < START_TRIES; tries++) {
    fault = await findReadinessFault(host);
    if (fault === undefined) return;
    await sleep(START_STEP_MS);
  }
  throw new Error(
    `${host.name} did not get ready (${fault}); see ${directory}.`,
  );
}

/** Says why a host is not ready; undefined when it is. */
async function findReadinessFault(
  host: HostProcess,
): Promise<string | undefined> {
  try {
    const url = `http://${host.readinessAddress}${READINESS_PATH}`;
    const signal = AbortSignal.timeout(ASK_TIMEOUT_MS);
    const answer = await fetch(url, {signal});
    return answer.ok ? undefined : `status ${answer.status}`;
  } catch (thrown) {
    return getErrorText(thrown);
  }
}
