/**
 * Guards against sound streams that are suspected because this process stood
 * still, so that a probe ran out of its time before its answer was read.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@irisdock/kernel';
import {StallDetector} from '../src/answer/stall_detector.js';
import {pauseProcess} from './fixtures/paused_process.js';

const PROBE_MS = 20;
/** Exceeds the length of a test, in ms. */
const NEVER_MS = 60_000;
/** Exceeds the time limit of a probe, in ms. */
const STOP_MS = 400;
const PROBE_TIMEOUT_MS = 100;

interface DetectorRun {
  readonly detector: StallDetector;
  readonly suspicions: string[];
  probes: number;
}

/** Starts a detector whose probes are answered as a function says. */
function startDetector(probe: () => Promise<boolean>): DetectorRun {
  const clock = new SystemClock();
  const suspicions: string[] = [];
  const detector = new StallDetector({
    clock,
    maxSilenceMs: NEVER_MS,
    getLimits: () => ({probeMs: PROBE_MS, lostMs: NEVER_MS}),
    probe: () => {
      run.probes++;
      return probe();
    },
    tryLeave: (kind) => {
      suspicions.push(kind);
      return Promise.resolve(false);
    },
    handleLoss: () => undefined,
    handleQuiet: () => undefined,
  });
  const run: DetectorRun = {detector, suspicions, probes: 0};
  detector.start(clock.getNow());
  return run;
}

/** Waits until a condition holds; the test's time limit bounds it. */
async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(1);
}

describe('a stream without events', {timeout: 10_000}, () => {
  it('is not suspected by a probe during which this process stood still', async () => {
    const run = startDetector(async () => {
      // Amid the first probe, as a timer of the probe's own is pending.
      if (run.probes === 1) {
        setTimeout(() => {
          pauseProcess(STOP_MS);
        }, 1);
      }
      await sleep(PROBE_TIMEOUT_MS);
      return false;
    });
    await waitFor(() => run.probes > 1);
    run.detector.stop();
    assert.deepEqual(run.suspicions, []);
  });

  it('is suspected by an unanswered probe though it stood still before', async () => {
    const run = startDetector(() => Promise.resolve(false));
    pauseProcess(STOP_MS);
    await waitFor(() => run.suspicions.length > 0);
    run.detector.stop();
    assert.equal(run.suspicions[0], 'silent');
  });
});
