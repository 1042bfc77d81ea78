/** The silence of one stream: when it is suspected, and when it is not. */
import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import type {SilenceDetector} from '../src/serving/silence_detector.js';
import {StalledClock, waitUntil, watchStream} from './fixtures/silences.js';

/** Longer than any limit on a silence here, in ms. */
const PAUSE_MS = 800;

/** Starts a detector, and stops it after the test even if that fails. */
function startDetector(detector: SilenceDetector, test: TestContext): void {
  test.after(() => {
    detector.stop();
  });
  detector.start();
}

describe('a suspicion', () => {
  it('names the stall of the host since the last event', async (test) => {
    const clock = new StalledClock();
    const stream = watchStream(() => 'silent', clock);
    startDetector(stream.detector, test);
    clock.stalledMs = 400;
    stream.detector.recordEvents();
    clock.stalledMs = 430;
    await waitUntil(() => stream.silences.length > 0);
    assert.equal(stream.silences[0]?.hostStallMs, 30);
  });

  it('ends when the endpoint answers its next probe', async (test) => {
    const stream = watchStream((place) => (place === 0 ? 'silent' : 'answers'));
    startDetector(stream.detector, test);
    stream.detector.recordEvents();
    await waitUntil(() => stream.countRecoveries() > 0);
    await waitUntil(() => stream.silences.length === 2);
    const answering = stream.silences.map(({isAnswering}) => isAnswering);
    assert.deepEqual(answering, [false, true]);
  });

  it('does not end with an answer after the longer limit', async (test) => {
    const stream = watchStream(() => 'answers');
    startDetector(stream.detector, test);
    stream.detector.recordEvents();
    await waitUntil(() => stream.silences.length === 1);
    const probes = stream.countProbes();
    await waitUntil(() => stream.countProbes() >= probes + 2);
    assert.equal(stream.countRecoveries(), 0);
  });
});

describe('a stream that its caller does not read', () => {
  it('is not suspected meanwhile', async (test) => {
    const stream = watchStream(() => 'silent');
    startDetector(stream.detector, test);
    stream.detector.recordEvents();
    stream.detector.pause();
    await wait(PAUSE_MS);
    assert.equal(stream.countProbes(), 0);
    assert.equal(stream.silences.length, 0);
  });

  it('is watched once its caller reads again', async (test) => {
    const stream = watchStream(() => 'silent');
    startDetector(stream.detector, test);
    stream.detector.recordEvents();
    stream.detector.pause();
    await wait(PAUSE_MS);
    stream.detector.resume();
    await waitUntil(() => stream.silences.length > 0);
  });
});
