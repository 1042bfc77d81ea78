/** Collecting the parts of a message. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ByteCollector} from '@irisdock/kernel';
import fc from 'fast-check';

const RUN_OPTIONS = {seed: 4101, numRuns: 300};
const parts = fc.array(fc.uint8Array({maxLength: 300}), {maxLength: 60});

describe('ByteCollector', () => {
  it('gives all parts in order, in at most twice their memory', () => {
    fc.assert(
      fc.property(parts, (arrays) => {
        const collector = new ByteCollector();
        const whole = Buffer.concat(arrays);
        for (const array of arrays) collector.add(Buffer.from(array));
        assert.deepEqual(collector.getBytes(), whole);
        assert.equal(collector.length, whole.length);
        assert.ok(collector.capacity <= 2 * whole.length);
      }),
      RUN_OPTIONS,
    );
  });

  it('does not change what it gave when it starts over', () => {
    const collector = new ByteCollector();
    collector.add(Buffer.from('first'));
    const given = collector.getBytes();
    collector.drop();
    collector.add(Buffer.from('other'));
    assert.equal(given.toString(), 'first');
    assert.equal(collector.getBytes().toString(), 'other');
  });
});
