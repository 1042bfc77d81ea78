/** Which headers of a message concern its connection only. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {createHopByHopPredicate} from '../src/hop_by_hop.js';

const OWN = 'x-own';

describe('the headers of one connection', () => {
  // Guards against headers that a proxy before this one sent for itself.
  it('are those that HTTP names, and those that Connection lists', () => {
    const isHopByHop = createHopByHopPredicate(['close , X-Own\t', ',,TE']);
    for (const name of ['connection', 'proxy-connection', 'upgrade', OWN]) {
      assert.equal(isHopByHop(name), true, name);
    }
    for (const name of ['accept', 'x-own-too']) {
      assert.equal(isHopByHop(name), false, name);
    }
  });

  // Guards against a sender that takes away what its message can't do without.
  it('are none of those that every recipient needs', () => {
    const listed = ['Host, Content-Type, Content-Encoding, X-Promised, X-Own'];
    const isPromised = (name: string): boolean => name === 'x-promised';
    const isHopByHop = createHopByHopPredicate(listed, isPromised);
    for (const name of ['host', 'content-type', 'content-encoding']) {
      assert.equal(isHopByHop(name), false, name);
    }
    assert.equal(isHopByHop('x-promised'), false);
    assert.equal(isHopByHop(OWN), true);
    assert.equal(isHopByHop('content-length'), true);
  });

  it('are the same however Connection is split into lines', () => {
    const option = fc.constantFrom('close', 'Host', 'X-Own', 'x-other', '');
    const options = fc.array(fc.array(option));
    fc.assert(
      fc.property(options, (lines) => {
        const values = lines.map((line) => line.join(', '));
        const isHopByHop = createHopByHopPredicate(values);
        const flat = lines.flat().map((name) => name.toLowerCase());
        for (const name of [OWN, 'x-other']) {
          assert.equal(isHopByHop(name), flat.includes(name));
        }
      }),
    );
  });
});
