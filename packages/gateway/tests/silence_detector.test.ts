/** The silence of one stream: when it is suspected, and when it is not. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StalledClock, waitUntil, watchStream} from './fixtures/silences.js';

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
