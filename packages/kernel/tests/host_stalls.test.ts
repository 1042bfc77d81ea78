import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {HostStalls} from '@irisdock/kernel';

const STALL_MS = 250;
/** The part of a stall before the timer is due is not counted. */
const UNCOUNTED_MS = 21;

/** Blocks the event loop. */
function waitBlocked(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

describe('the stalls of a host', () => {
  it('are known before the timer that measures them fires', () => {
    const stalls = new HostStalls();
    const stop = stalls.watch();
    waitBlocked(STALL_MS);
    assert.ok(stalls.getStalledMs() >= STALL_MS - UNCOUNTED_MS);
    stop();
  });

  it('are kept after the loop goes on', async () => {
    const stalls = new HostStalls();
    const stop = stalls.watch();
    waitBlocked(STALL_MS);
    const stalledMs = stalls.getStalledMs();
    await wait(1);
    assert.ok(stalls.getStalledMs() >= stalledMs);
    stop();
    assert.ok(stalls.getStalledMs() >= stalledMs);
  });

  it('add up', async () => {
    const stalls = new HostStalls();
    const stop = stalls.watch();
    for (let count = 0; count < 3; count++) {
      waitBlocked(STALL_MS);
      await wait(1);
    }
    assert.ok(stalls.getStalledMs() >= 3 * (STALL_MS - UNCOUNTED_MS));
    stop();
  });

  it('count only while they are watched', () => {
    let now = 0;
    const stalls = new HostStalls(() => now);
    now += STALL_MS;
    const stop = stalls.watch();
    stop();
    stop();
    now += STALL_MS;
    assert.equal(stalls.getStalledMs(), 0);
  });

  it('are watched until the last watcher ends', () => {
    let now = 0;
    const stalls = new HostStalls(() => now);
    const stops = [stalls.watch(), stalls.watch()];
    stops[0]?.();
    stops[0]?.();
    now += STALL_MS;
    assert.ok(stalls.getStalledMs() >= STALL_MS - UNCOUNTED_MS);
    stops[1]?.();
  });

  it('leave out that a clock went back', () => {
    let now = STALL_MS;
    const stalls = new HostStalls(() => now);
    const stop = stalls.watch();
    now = 0;
    assert.equal(stalls.getStalledMs(), 0);
    stop();
  });
});
