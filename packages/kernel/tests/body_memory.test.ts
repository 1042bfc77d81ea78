/** Which bodies are refused when those of all requests take too much memory. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BodyMemory, type BufferHold} from '@irisdock/kernel';

const MAX_BYTES = 1_000_000;
const MAX_BODY_BYTES = 400_000;
const SMALL_BYTES = 1000;

interface OpenBody {
  readonly hold: BufferHold;
  isRefused: boolean;
}

function openBody(memory: BodyMemory, bytes: number): OpenBody {
  const body: {hold?: BufferHold; isRefused: boolean} = {isRefused: false};
  body.hold = memory.open(MAX_BODY_BYTES, () => (body.isRefused = true));
  body.hold.set(SMALL_BYTES);
  body.hold.set(bytes);
  return body as OpenBody;
}

function openMany(
  memory: BodyMemory,
  count: number,
  bytes: number,
): OpenBody[] {
  return Array.from({length: count}, () => openBody(memory, bytes));
}

function countRefused(bodies: readonly OpenBody[]): number {
  return bodies.filter((body) => body.isRefused).length;
}

describe('BodyMemory', () => {
  // Guards against ordinary requests that are refused for a crowd of large ones.
  it('refuses no small body as large ones take all they may', () => {
    const memory = new BodyMemory(MAX_BYTES);
    const small = openMany(memory, 100, SMALL_BYTES);
    const large = openMany(memory, 100, MAX_BODY_BYTES);
    const later = openMany(memory, 100, SMALL_BYTES);
    assert.equal(countRefused(small) + countRefused(later), 0);
    assert.equal(countRefused(large), 99);
    assert.ok(memory.totalBytes <= MAX_BYTES);
  });

  // Guards against a refusal of a request that may be running.
  it('refuses none that has been read', () => {
    const memory = new BodyMemory(MAX_BYTES);
    const kept = openBody(memory, MAX_BODY_BYTES);
    kept.hold.keep();
    const others = openMany(memory, 9, MAX_BODY_BYTES - 1);
    assert.ok(!kept.isRefused);
    assert.equal(countRefused(others), 9);
    kept.hold.close();
    assert.ok(!openBody(memory, MAX_BODY_BYTES).isRefused);
  });

  // Guards against a limit of bodies together that no single body fits.
  it('has room for one body of the longest length', () => {
    const memory = new BodyMemory(MAX_BODY_BYTES / 2);
    assert.ok(!openBody(memory, MAX_BODY_BYTES).isRefused);
    assert.equal(memory.totalBytes, MAX_BODY_BYTES);
  });

  it('gives all memory back', () => {
    const memory = new BodyMemory(MAX_BYTES);
    const bodies = [
      ...openMany(memory, 9, SMALL_BYTES),
      ...openMany(memory, 9, MAX_BODY_BYTES),
    ];
    for (const {hold} of bodies) hold.close();
    assert.equal(memory.totalBytes, 0);
  });
});
