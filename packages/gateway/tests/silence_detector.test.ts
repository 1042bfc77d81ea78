/** The silence of one stream: when it is suspected, and when it is not. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {StalledClock, waitUntil, watchStream} from './fixtures/silences.js';

/** Longer than any limit on a silence here, in ms. */
const PAUSE_MS = 800;

describe('a suspicion', () => {
  it('names the stall of the host since the last event', async () => {
    const clock = new StalledClock();
    const stream = watchStream(() => 'silent', clock);
    stream.detector.start();
    clock.stalledMs = 400;
    stream.detector.recordEvents();
    clock.stalledMs = 430;
    await waitUntil(() => stream.silences.length > 0);
    stream.detector.stop();
    assert.equal(stream.silences[0]?.hostStallMs, 30);
  });
});

describe('a stream that its caller does not read', () => {
  it('is not suspected meanwhile', async () => {
    const stream = watchStream(() => 'silent');
    stream.detector.start();
    stream.detector.recordEvents();
    stream.detector.pause();
    await wait(PAUSE_MS);
    stream.detector.stop();
    assert.equal(stream.countProbes(), 0);
    assert.equal(stream.silences.length, 0);
  });

  it('is watched once its caller reads again', async () => {
    const stream = watchStream(() => 'silent');
    stream.detector.start();
    stream.detector.recordEvents();
    stream.detector.pause();
    await wait(PAUSE_MS);
    stream.detector.resume();
    await waitUntil(() => stream.silences.length > 0);
    stream.detector.stop();
  });
});
