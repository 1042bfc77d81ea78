/** The part of the time that costly messages take together. */
import assert from 'node:assert/strict';
import {Socket} from 'node:net';
import {describe, it, mock} from 'node:test';
import {ReadShare} from '@irisdock/kernel';

/** The time that a read takes to handle, in ms. */
const READ_MS = 20;
const MESSAGES = 10;
const DURATION_MS = 10_000;

describe('messages that are costly to read', () => {
  // Guards against a few fast senders that hold up all others.
  it('take a quarter of the time together, and the same each', () => {
    mock.timers.enable({apis: ['setTimeout']});
    try {
      let now = 0;
      let busyMs = 0;
      const share = new ReadShare(() => now);
      const reads = Array.from({length: MESSAGES}, () => 0);
      for (const index of reads.keys()) {
        const socket = new Socket();
        const read = (): void => {
          now += READ_MS;
          busyMs += READ_MS;
          reads[index] = (reads[index] ?? 0) + 1;
          share.pause(socket, READ_MS);
        };
        mock.method(socket, 'resume', read);
        read();
      }
      const startedAt = now;
      busyMs = 0;
      while (now < startedAt + DURATION_MS) {
        now++;
        mock.timers.tick(1);
      }
      assert.ok(busyMs <= DURATION_MS / 4, `${busyMs} ms`);
      assert.ok(busyMs >= DURATION_MS / 8, `${busyMs} ms`);
      assert.ok(Math.max(...reads) - Math.min(...reads) <= 1);
    } finally {
      mock.timers.reset();
    }
  });

  it('go on at once when their last response is over', () => {
    const share = new ReadShare(() => 0);
    const socket = new Socket();
    share.pause(socket, READ_MS);
    assert.equal(socket.isPaused(), true);
    share.release(socket);
    assert.equal(socket.isPaused(), false);
    socket.destroy();
  });
});
