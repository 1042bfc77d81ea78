/** The silence of one stream: when it is suspected, and when it is not. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {StalledClock, watchStream} from './fixtures/silences.js';

/** How often and how long a test waits for a verdict, in ms. */
const POLL_MS = 10;
const MAX_POLLS = 500;

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < MAX_POLLS && !condition(); tries++) {
    await wait(POLL_MS);
  }
  assert.ok(condition());
}

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
