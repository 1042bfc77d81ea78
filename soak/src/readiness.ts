/** Asks a host whether it takes callers. */
import {getErrorText} from '@irisdock/kernel';
import {READINESS_PATH} from '@irisdock/users-platform/fixtures';
import type {HostProcess} from './host_process.js';

/** Says why a host is not ready; undefined when it is. */
export async function findReadinessFault(
  host: HostProcess,
): Promise<string | undefined> {
  try {
    const url = `http://${host.readinessAddress}${READINESS_PATH}`;
    const answer = await fetch(url, {signal: AbortSignal.timeout(1000)});
    return answer.ok ? undefined : `status ${answer.status}`;
  } catch (thrown) {
    return getErrorText(thrown);
  }
}
