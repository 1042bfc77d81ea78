/**
 * Plays a crowd against a process and checks what must hold whatever clients
 * send: the process lives, stays within its memory, answers an ordinary request
 * while the crowd is there, and serves one once it has left.
 */
import assert from 'node:assert/strict';
import {Crowd, type ClientPlan} from './crowd.js';
import type {RunningProcess} from './process.js';
import {countDescriptors, getPeakMemoryMb} from './process_usage.js';
import {waitUntil} from './wait.js';

/** Descriptors that a process may open for itself during a play. */
const OWN_DESCRIPTORS = 24;

/** The process that a crowd meets. */
export interface CrowdTarget {
  readonly process: RunningProcess;
  /** The memory of its machine, in MB. */
  readonly memoryMb: number;
  /** Sends an ordinary request; gives the status of its answer. */
  sendOrdinary(): Promise<number>;
}

/** Plays a crowd and checks the process. */
export async function checkUnderCrowd(
  target: CrowdTarget,
  plans: readonly ClientPlan[],
): Promise<void> {
  const {process} = target;
  const descriptors = countDescriptors(process.pid) + OWN_DESCRIPTORS;
  const crowd = new Crowd(plans);
  try {
    await crowd.run();
    checkProcess(target);
    const open = countDescriptors(process.pid);
    assert.ok(open <= descriptors + 2 * plans.length, `${open} descriptors`);
    await waitUntil('an answer while the crowd is there', async () => {
      if (process.isExited) return true;
      return (await target.sendOrdinary()) > 0;
    });
    checkProcess(target);
  } finally {
    crowd.close();
  }
  await waitUntil('the connections of the crowd are closed', () => {
    if (process.isExited) return true;
    return countDescriptors(process.pid) <= descriptors;
  });
  checkProcess(target);
  assert.equal(await target.sendOrdinary(), 200);
  checkProcess(target);
}

function checkProcess({process, memoryMb}: CrowdTarget): void {
  assert.ok(!process.isExited, `the process has ended: ${process.log}`);
  const peak = Math.round(getPeakMemoryMb(process.pid));
  assert.ok(peak <= memoryMb, `it had ${peak} MB, its machine ${memoryMb}`);
}
