/** Which addresses are remembered for answers with very many parts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PacedAddresses} from '../src/channels/paced_addresses.js';

const REMEMBERED_MS = 10_000;

// Guards against a server whose answers each take the time of an unbounded first
// read, and against one that is slowed for good.
describe('an address whose answer had very many parts', () => {
  it('is remembered for a while after its last one', () => {
    let now = 0;
    const paced = new PacedAddresses({getNow: () => now});
    paced.record('one');
    now = REMEMBERED_MS / 2;
    paced.record('two');
    paced.record('one');
    now = REMEMBERED_MS;
    assert.equal(paced.has('one'), true);
    assert.equal(paced.has('three'), false);
    now = 2 * REMEMBERED_MS;
    assert.equal(paced.has('one'), false);
    assert.equal(paced.has('two'), false);
  });
});
